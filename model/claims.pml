/*
 * At-most-once execution: the claim protocol of internal/claim.
 *
 * Each of VMS VMs serves calls with the same idempotency key. The table has one
 * row with a version. A write can be refused, be applied with its response
 * lost, or be applied at any later time. A VM can crash at any step and be
 * paused for any time (any process may stop while the others run). Each
 * deadline may pass at any moment.
 *
 * STEP performs a transition of charts/claim.ini; model_test.go compares the
 * transitions of this file with the chart.
 *
 * Properties:
 *   P1  the call runs at most once
 *   P2  no attempt runs whose caller was told "not run"
 *   P3  once all VMs have ended and no write is pending, no attempt that was
 *       told "not run" holds the claim, unless its VM crashed
 *
 * Variants, each of which violates a property:
 *   SEND_UNSETTLED	send before the write is known to have been applied
 *   LEASE_TAKEOVER	take over the claim of another VM after a lease
 *   NOT_RUN_OPEN	report "not run" without writing the final state of the claim
 *   RELEASE_UNKNOWN	release a claim whose call may have run
 *   NO_CONDITION	write without a condition on the version
 *   SEND_AFTER_REFUSAL	send after the caller was told that the deadline passed
 *   FORGET_REWRITE	treat a refused second write as if the first was not applied either
 *
 * LOSSES limits the number of writes whose response is lost; NO_MONITOR omits
 * the check of P3.
 */

#ifndef VMS
#define VMS 2
#define CALLS 2                  /* calls served by each VM */
#endif
#define ATTEMPTS 4               /* number of attempts; at least VMS * CALLS */
#define MAX_REWRITES 1

mtype = { ABSENT, STARTED, RELEASED, DONE, UNKNOWN };                /* states of the row */
mtype = { OK, CONFLICT, REFUSED, LOST };                             /* results of a write */
/* States of the chart. Its state sent is sent_ here, because sent is also an event. */
mtype = { writing, settling, rewriting, waiting, owned, sent_, releasing,
          finishing, losing, not_run, done, replayed, running, unknown };

/* The row of the table. */
mtype row = ABSENT;
byte version = 0;
byte holder = 0;                 /* attempt that last wrote the row; attempts count from 1 */

/* Writes that may still be applied later, one per attempt. */
bool late[ATTEMPTS + 1];
byte lateBase[ATTEMPTS + 1];
mtype lateRow[ATTEMPTS + 1];

bool toldNotRun[ATTEMPTS + 1];  /* the attempt's caller was told "not run" */
byte runs = 0;
#ifdef LOSSES
byte losses = 0;                 /* writes whose response was lost */
#endif
byte crashed = 0;                /* VMs that crashed */
byte ended = 0;                  /* VMs that ended, including crashed ones */
bool dead[ATTEMPTS + 1];         /* the attempt's VM crashed while the attempt held the claim */

#define STEP(from, event, to) assert(at == from); at = to

/* apply applies a write if its condition holds. */
inline apply(who, base, state) {
	if
#ifdef NO_CONDITION
	:: true ->
#else
	:: version == base ->
#endif
		row = state; version++; holder = who; result = OK
	:: else -> result = CONFLICT
	fi
}

/* MAY_LOSE allows another lost response; LOSE counts it. */
#ifdef LOSSES
#define MAY_LOSE (losses < LOSSES)
#define LOSE losses++
#else
#define MAY_LOSE true
#define LOSE skip
#endif

/* commit performs a conditional write with any of its possible results: refused,
 * applied or in conflict, applied with the response lost, or pending. */
inline commit(who, base, state) {
	atomic {
		if
		:: result = REFUSED
		:: true -> apply(who, base, state)
		:: MAY_LOSE -> apply(who, base, state); result = LOST; LOSE
		:: MAY_LOSE && !late[who] ->
			late[who] = true; lateBase[who] = base; lateRow[who] = state; result = LOST; LOSE
		:: MAY_LOSE && late[who] -> result = LOST; LOSE
		fi
	}
}

/* The upstream runs the call. */
inline runCall() {
	atomic {
		runs++;
		assert(runs <= 1);                             /* P1 */
		assert(!toldNotRun[me])               /* P2 */
	}
}

proctype VM(byte number) {
	byte me = 0;                 /* the current attempt */
	byte call = 0;
	byte base;                   /* version that the writes of the attempt expect */
	byte rewrites;
	byte expected;
	mtype at;
	mtype result;

next:
	atomic {
		base = 0; rewrites = 0; result = 0; at = writing;
		if
		:: call == CALLS -> goto finished
		:: else -> me = number * CALLS + call + 1; call++
		fi
	}

write:
	atomic {
		commit(me, base, STARTED);
		if
		:: at == writing && result == OK -> STEP(writing, written, owned); result = 0; goto own
		:: at == writing && result == REFUSED ->
			STEP(writing, refused, not_run); toldNotRun[me] = true; goto next
		:: at == writing && result == CONFLICT -> STEP(writing, conflict, settling)
#ifdef SEND_UNSETTLED
		:: at == writing && result == LOST -> at = owned; result = 0; goto own
#else
		:: at == writing && result == LOST -> STEP(writing, lost, settling)
#endif
		:: at == rewriting && result == OK -> STEP(rewriting, written, owned); result = 0; goto own
#ifdef FORGET_REWRITE
		:: at == rewriting && result == REFUSED -> at = not_run; toldNotRun[me] = true; goto next
#else
		:: at == rewriting && result == REFUSED -> STEP(rewriting, refused, releasing); goto release
#endif
		:: at == rewriting && result == CONFLICT -> STEP(rewriting, conflict, settling)
		:: at == rewriting && result == LOST -> STEP(rewriting, lost, settling)
		fi;
		result = 0
	}

settle:
	atomic {
		if
		:: STEP(settling, unreadable, releasing); goto release
		:: version == base && rewrites < MAX_REWRITES ->
			rewrites++; STEP(settling, row_unchanged, rewriting); goto write
		:: version == base && rewrites == MAX_REWRITES ->
			STEP(settling, retries_spent, releasing); goto release
		:: version != base && row == STARTED && holder == me ->
			STEP(settling, row_own, owned); goto own
		:: version != base && row == STARTED && holder != me ->
			STEP(settling, row_running, waiting); goto wait
		:: version != base && row == STARTED && holder != me ->
			STEP(settling, row_unknown, unknown); goto next      /* the deadline of the other VM's call has passed */
		:: version != base && row == RELEASED ->
			base = version; rewrites = 0; STEP(settling, row_released, writing); goto write
		:: version != base && row == DONE ->
			STEP(settling, row_done, replayed); goto next
		:: version != base && row == UNKNOWN ->
			STEP(settling, row_unknown, unknown); goto next
		fi
	}

wait:
	atomic {
		if
		:: STEP(waiting, deadline_passed, running); goto next
		:: STEP(waiting, unreadable, waiting); goto wait
		:: row == STARTED -> STEP(waiting, row_running, waiting); goto wait
		:: row == STARTED -> STEP(waiting, row_unknown, unknown); goto next
#ifdef LEASE_TAKEOVER
		:: row == STARTED -> base = version; rewrites = 0; at = writing; goto write
#endif
		:: row == RELEASED ->
			base = version; rewrites = 0; STEP(waiting, row_released, writing); goto write
		:: row == DONE -> STEP(waiting, row_done, replayed); goto next
		:: row == UNKNOWN -> STEP(waiting, row_unknown, unknown); goto next
		fi
	}

own:
	atomic {
		rewrites = 0;
		if
		:: STEP(owned, deadline_passed, releasing); goto release
		:: STEP(owned, sent, sent_)
#ifdef SEND_AFTER_REFUSAL
		:: toldNotRun[me] = true; at = sent_
#endif
		:: crashed == 0 -> goto crash
		fi
	}

	/* A call that an upstream sheds has not run: it is retried on another upstream
	 * or released. */
	atomic {
		if
		:: STEP(sent_, not_taken, releasing); goto release
		:: runCall(); STEP(sent_, answered, finishing)
		:: runCall(); STEP(sent_, answer_lost, losing)
		:: STEP(sent_, answer_lost, losing)
		:: crashed == 0 -> runCall(); goto crash
		:: crashed == 0 -> goto crash
		fi;
#ifdef RELEASE_UNKNOWN
		if
		:: at == losing -> at = releasing
		:: else
		fi
#endif
	}

	/* The final state of the claim is written until the write is confirmed. */
close:
	atomic {
		if
		:: row == STARTED && holder == me -> expected = version
		:: at == releasing && version == base -> expected = version
		:: crashed == 0 -> goto crash
		:: else -> goto closed
		fi
	}
	atomic {
		if
		:: at == releasing -> commit(me, expected, RELEASED)
		:: at == finishing -> commit(me, expected, DONE)
		:: at == losing -> commit(me, expected, UNKNOWN)
		fi;
		expected = 0;
		if
		:: result == OK -> result = 0; goto closed
		:: else -> result = 0; goto close
		fi
	}

closed:
	atomic {
		if
		:: at == releasing -> STEP(releasing, closed, not_run)
		:: at == finishing -> STEP(finishing, closed, done)
		:: at == losing -> STEP(losing, closed, unknown)
		fi;
		goto next
	}

release:
	atomic {
		rewrites = 0;
		toldNotRun[me] = true;
#ifdef NOT_RUN_OPEN
		goto next;
#endif
		goto close
	}

	/* At most one VM crashes. */
crash:
	atomic {

		crashed = 1;
		dead[me] = true
	}

finished:
	atomic { me = 0; call = 0; base = 0; rewrites = 0; expected = 0; at = 0; result = 0; ended++ }
}

/* applyLate applies the pending write of an attempt or drops it. */
inline applyLate(who) {
	atomic {
		late[who];
		if
		:: true -> apply(who, lateBase[who], lateRow[who])
		:: skip
		fi;
		late[who] = false; lateBase[who] = 0; lateRow[who] = 0; result = 0
	}
}

/* Network applies pending writes at any time, or never. */
proctype Network() {
	mtype result;
end:
	do
	:: applyLate(1)
	:: applyLate(2)
	:: applyLate(3)
	:: applyLate(4)
	od
}

#define IS_QUIET (ended == VMS && !late[1] && !late[2] && !late[3] && !late[4])

/* Monitor checks P3: an attempt that was told "not run" does not hold the claim
 * forever. */
proctype Monitor() {
	IS_QUIET;
	assert(!(row == STARTED && toldNotRun[holder] && !dead[holder]))
}

init {
	atomic {
		byte i = 0;
		do
		:: i < VMS -> run VM(i); i++
		:: else -> break
		od;
		run Network();
#ifndef NO_MONITOR
		run Monitor()
#endif
	}
}
