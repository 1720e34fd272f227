/*
 * Commit of a team's configuration: internal/configstore.
 *
 * Two operators change the settings of one team. A commit can be refused, be
 * applied with its response lost, or be applied at any later time. The table
 * may have one outage, at any time. config_spread.pml models how a committed
 * revision reaches the VMs.
 *
 * Properties:
 *   P1  each revision is written at most once
 *   P2  a change becomes at most one revision
 *   P3  a send whose operator was told "nothing changed" is never applied
 *   P4  a change whose operator was told "accepted" is a revision in the table
 *
 * Variants, each of which violates a property:
 *   NO_CONDITION     commit without the condition on the team's revision
 *   NO_CHANGE_ROW    commit without the condition on the change id's row
 *   NO_VOID          report "nothing changed" without voiding the change id
 */

#define OPERATORS 2
#define SENDS 2                  /* how often an operator may send a change */

/* What an operator was told; nothing stands for "nothing changed", raced for a
 * conflict with another change. */
mtype = { none, accepted, raced, nothing, uncertain };

/* The table: the team's revision and the rows of the change ids. */
byte head = 0;
byte writes[5];                  /* how often each revision was written */
byte rowVersion[OPERATORS];
byte committedAs[OPERATORS];     /* revision of the change; 0 if absent or void */
byte becameRevisions[OPERATORS]; /* number of revisions that the change became */
bool isUp = true;

/* Sends that may still be applied. */
bool late[OPERATORS * SENDS];
byte lateBase[OPERATORS * SENDS];
byte lateRow[OPERATORS * SENDS];
bool toldNothing[OPERATORS * SENDS];

/* write runs the transaction of one send; ok is whether its conditions held. */
inline write(op, send, base, row, ok) {
#if defined(NO_CONDITION)
	ok = (rowVersion[op] == row);
#elif defined(NO_CHANGE_ROW)
	ok = (head == base);
#else
	ok = (head == base && rowVersion[op] == row);
#endif
	if
	:: ok ->
		assert(!toldNothing[op * SENDS + send]);              /* P3 */
		head = base + 1;
		writes[base + 1]++;
		assert(writes[base + 1] == 1);                        /* P1 */
		rowVersion[op]++;
		committedAs[op] = base + 1;
		becameRevisions[op]++;
		assert(becameRevisions[op] == 1)                      /* P2 */
	:: else
	fi
}

proctype Operator(byte op) {
	byte send = 0;
	byte base;
	byte row;
	bool ok;
	mtype told = none;

	do
	:: send < SENDS && (told == none || told == uncertain || told == nothing) ->
		told = none;
		/* Read the active revision and the row of the change id. */
		if
		:: !isUp -> told = nothing
		:: atomic { isUp -> base = head; row = rowVersion[op];
#ifndef NO_CHANGE_ROW
			if
			:: committedAs[op] > 0 -> told = accepted
			:: else
			fi
#endif
			}
		fi;
		if
		:: told == none ->
			/* The commit. */
			if
			:: atomic { !isUp -> told = nothing }
			:: atomic { isUp -> write(op, send, base, row, ok);
				if
				:: ok -> told = accepted
				:: !ok && committedAs[op] > 0 -> told = accepted
				:: else -> told = raced
				fi }
			:: atomic { isUp -> write(op, send, base, row, ok) } ; goto read_back
			:: atomic { late[op * SENDS + send] = true;
				lateBase[op * SENDS + send] = base;
				lateRow[op * SENDS + send] = row } ; goto read_back
			fi
		:: else
		fi;
		goto end_send;
		/* The result of the commit is unknown: read it back. */
read_back:
		if
		:: atomic { !isUp -> told = uncertain }
		:: atomic { isUp && committedAs[op] > 0 -> told = accepted }
		:: isUp && committedAs[op] == 0 ->
#ifdef NO_VOID
			told = nothing; toldNothing[op * SENDS + send] = true
#else
			/* Void the row of the change id; this response may be lost too. */
			if
			:: atomic { !isUp -> told = uncertain }
			:: atomic { isUp && rowVersion[op] == row -> rowVersion[op]++;
				if
				:: told = nothing; toldNothing[op * SENDS + send] = true
				:: told = uncertain
				fi }
			:: atomic { isUp && rowVersion[op] != row ->
				if
				:: committedAs[op] > 0 -> told = accepted
				:: else -> told = uncertain
				fi }
			fi
#endif
		fi;
end_send:
		assert(told != accepted || (committedAs[op] > 0 && writes[committedAs[op]] == 1)); /* P4 */
		send++
	:: else -> break
	od
}

/* Network applies the late sends at any time. */
active proctype Network() {
	bool ok;
end:
	do
	:: atomic { late[0] -> late[0] = false; write(0, 0, lateBase[0], lateRow[0], ok) }
	:: atomic { late[1] -> late[1] = false; write(0, 1, lateBase[1], lateRow[1], ok) }
	:: atomic { late[2] -> late[2] = false; write(1, 0, lateBase[2], lateRow[2], ok) }
	:: atomic { late[3] -> late[3] = false; write(1, 1, lateBase[3], lateRow[3], ok) }
	od
}

active proctype Outage() {
	if
	:: isUp = false; isUp = true
	:: skip
	fi
}

init {
	atomic {
		run Operator(0);
		run Operator(1)
	}
}
