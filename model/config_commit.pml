/*
 * Commit of a team's configuration: internal/configstore.
 *
 * Two operators change the settings of one team. A commit can be refused, take
 * effect with its answer lost, or take effect later, any time. The table has an
 * outage at any time. config_spread.pml goes on with how a committed revision
 * reaches the VMs.
 *
 * Properties:
 *   P1  a revision is written once
 *   P2  a change becomes at most one revision
 *   P3  a send whose operator was told "nothing changed" never takes effect
 *   P4  a change whose operator was told "accepted" is a revision of the table
 *
 * Variants, each of which breaks a property:
 *   NO_CONDITION     commit without the condition on the team's revision
 *   NO_CHANGE_ROW    commit without the condition on the change id's row
 *   NO_VOID          tell "nothing changed" without voiding the change id
 */

#define OPERATORS 2
#define SENDS 2                  /* times that an operator sends a change */

mtype = { none, accepted, raced, nothing, uncertain };

/* The table: the team's revision and the change ids' rows. */
byte head = 0;
byte writes[5];                  /* how often each revision was written */
byte rowVersion[OPERATORS];
byte committedAs[OPERATORS];     /* revision; 0 is absent or void */
byte becameRevisions[OPERATORS];
bool isUp = true;

/* Sends that may still take effect. */
bool late[OPERATORS * SENDS];
byte lateBase[OPERATORS * SENDS];
byte lateRow[OPERATORS * SENDS];
bool toldNothing[OPERATORS * SENDS];

/* write runs one transaction of an operator's send. */
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
		/* Read what is in force and the change id's row. */
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
			:: atomic { isUp -> write(op, send, base, row, ok) } ; goto settle
			:: atomic { late[op * SENDS + send] = true;
				lateBase[op * SENDS + send] = base;
				lateRow[op * SENDS + send] = row } ; goto settle
			fi
		:: else
		fi;
		goto end_send;
settle:
		if
		:: atomic { !isUp -> told = uncertain }
		:: atomic { isUp && committedAs[op] > 0 -> told = accepted }
		:: isUp && committedAs[op] == 0 ->
#ifdef NO_VOID
			told = nothing; toldNothing[op * SENDS + send] = true
#else
			/* Void the change id's row; the answer may be lost too. */
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

/* Network lets the late sends take effect. */
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
