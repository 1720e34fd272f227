/*
 * How a committed configuration reaches the VMs: internal/agent.
 *
 * The table's revision of one team rises, as config_commit.pml allows, except
 * during an outage. VMs get revisions by pushes that may be lost, late or
 * duplicated, from the feed and from each other. A new VM starts at any time.
 *
 * Properties:
 *   P1  a serving VM never applies a lower revision
 *   P2  a new VM that starts while the table is down gets at least the
 *       revision that a majority of its peers had when it started
 *   P3  once nothing can change any more, every VM has the table's revision
 *
 * Variants, each of which violates a property:
 *   APPLY_ANY        apply a revision without comparing it with the active one
 *   BOOTSTRAP_ONE    a new VM becomes ready with the state of a single peer
 *   POSITION_LAST    the feed's position is read after the heads
 */

#define REVISIONS 2
#define PEERS 3                  /* VMs that serve from the start; 2 form a majority */
#define NEWCOMER PEERS           /* number of the VM that starts later */
#define VMS 4
#define PUSHES 1                 /* maximum number of pushes that reach each VM */

byte head = 0;                   /* the team's revision; also the version of its shard */
bool isUp = true;
byte rev[VMS];                   /* active revision of each VM */
bool serves[VMS];

active proctype Committer() {
end:
	do
	:: atomic { isUp && head < REVISIONS -> head++ }
	od
}

active proctype Outage() {
	if
	:: isUp = false; isUp = true
	:: skip
	fi
}

/* apply applies revision r on VM v if it is higher than the active one. */
inline apply(v, r) {
#ifdef APPLY_ANY
	assert(!serves[v] || r >= rev[v]);                            /* P1 */
	rev[v] = r
#else
	if
	:: r > rev[v] -> rev[v] = r
	:: else
	fi
#endif
}

/* bootstrap loads the configuration of the new VM. Revisions only rise, so reading
 * from all peers at once, at the start, is the worst case. */
inline bootstrap() {
	byte others;
	if
	:: atomic { isUp -> rev[NEWCOMER] = head; position = head }
	:: atomic { !isUp ->
		/* The revision that a majority has: the second highest one. */
		if
		:: rev[0] <= rev[1] && rev[0] >= rev[2] || rev[0] >= rev[1] && rev[0] <= rev[2] -> others = rev[0]
		:: rev[1] <= rev[0] && rev[1] >= rev[2] || rev[1] >= rev[0] && rev[1] <= rev[2] -> others = rev[1]
		:: rev[2] <= rev[0] && rev[2] >= rev[1] || rev[2] >= rev[0] && rev[2] <= rev[1] -> others = rev[2]
		fi;
#ifdef BOOTSTRAP_ONE
		if
		:: skip; apply(NEWCOMER, rev[0])
		:: skip; apply(NEWCOMER, rev[1])
		:: skip; apply(NEWCOMER, rev[2])
		fi;
#else
		if
		:: skip; apply(NEWCOMER, rev[0]); apply(NEWCOMER, rev[1])
		:: skip; apply(NEWCOMER, rev[0]); apply(NEWCOMER, rev[2])
		:: skip; apply(NEWCOMER, rev[1]); apply(NEWCOMER, rev[2])
		fi;
#endif
		assert(rev[NEWCOMER] >= others);              /* P2 */
		others = 0 }
	fi
}

proctype VM(byte v) {
	byte position = 0;
	byte newPosition;
	byte pushes = 0;

	if
	:: v == NEWCOMER -> bootstrap()
	:: else
	fi;
	serves[v] = true;
end:
	do
	/* The feed: read the position first, then the heads. */
	:: isUp && head != position ->
#ifdef POSITION_LAST
		if
		:: atomic { isUp -> apply(v, head) };
			if
			:: atomic { isUp -> position = head }
			:: !isUp
			fi
		:: !isUp
		fi
#else
		newPosition = head;
		if
		:: atomic { isUp -> apply(v, head); position = newPosition; newPosition = 0 }
		:: atomic { !isUp -> newPosition = 0 }
		fi
#endif
	/* A push of any revision, possibly late or duplicated. */
	:: atomic { pushes < PUSHES && head > 0 ->
			pushes++;
			if
			:: skip; apply(v, head)
			:: skip; apply(v, 1)
			fi }
	/* Anti-entropy with all VMs, including the new one. */
	:: atomic { rev[0] > rev[v] -> apply(v, rev[0]) }
	:: atomic { rev[1] > rev[v] -> apply(v, rev[1]) }
	:: atomic { rev[2] > rev[v] -> apply(v, rev[2]) }
	:: atomic { serves[NEWCOMER] && rev[NEWCOMER] > rev[v] -> apply(v, rev[NEWCOMER]) }
	od
}

init {
	byte i;
	atomic {
		i = 0;
		do
		:: i < VMS -> run VM(i); i++
		:: else -> break
		od
	};
	/* timeout is enabled once no other process can take a step. */
	timeout;
	i = 0;
	do
	:: i < VMS -> assert(rev[i] == head); i++                     /* P3 */
	:: else -> break
	od
}
