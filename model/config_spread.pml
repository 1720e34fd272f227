/*
 * How a committed configuration reaches the VMs: internal/agent.
 *
 * The table's revision of one team rises, as config_commit.pml allows, but for
 * the time of an outage. VMs get revisions by pushes that may be lost, late or
 * doubled, by the feed and from each other. A new VM starts at any time.
 *
 * Properties:
 *   P1  a VM that serves never goes to a lower revision
 *   P2  a new VM that starts without the table has what a majority of the
 *       others had when it began
 *   P3  when all is quiet, every VM has the table's revision
 *
 * Variants, each of which breaks a property:
 *   APPLY_ANY        apply without comparing revisions
 *   BOOTSTRAP_ONE    a new VM is ready with the state of one peer
 *   POSITION_LAST    the feed's position is read after the heads
 */

#define REVISIONS 2
#define PEERS 3                  /* VMs that serve from the start; 2 are a majority */
#define NEWCOMER PEERS           /* the VM that starts later */
#define VMS 4
#define PUSHES 1                 /* pushes that reach each VM */

byte head = 0;                   /* the revision, and the version of the shard */
bool isUp = true;
byte rev[VMS];
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

/* bootstrap loads the newcomer. Revisions only rise, so that asking all peers
 * at once, at the beginning, is the worst case. */
inline bootstrap() {
	byte others;
	if
	:: atomic { isUp -> rev[NEWCOMER] = head; position = head }
	:: atomic { !isUp ->
		/* What a majority has: the second highest revision. */
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
	byte seen;
	byte pushes = 0;

	if
	:: v == NEWCOMER -> bootstrap()
	:: else
	fi;
	serves[v] = true;
end:
	do
	/* The feed: the position, then the heads. */
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
		seen = head;
		if
		:: atomic { isUp -> apply(v, head); position = seen; seen = 0 }
		:: atomic { !isUp -> seen = 0 }
		fi
#endif
	/* A push of any revision, late or doubled. */
	:: atomic { pushes < PUSHES && head > 0 ->
			pushes++;
			if
			:: skip; apply(v, head)
			:: skip; apply(v, 1)
			fi }
	/* Anti-entropy, also with the newcomer. */
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
	/* All is quiet when nothing else can move. */
	timeout;
	i = 0;
	do
	:: i < VMS -> assert(rev[i] == head); i++                     /* P3 */
	:: else -> break
	od
}
