/* Copyright 2026 The Runridge Authors. All rights reserved.
 * SPDX-License-Identifier: MIT
 *
 * A request that must not be repeated arrives twice, through two boxes that ask
 * the boxes that rank first for its key. Three boxes rank 0, 1, 2; each learns of
 * the death of another only after a delay; a box may be silent and resume, and up
 * to DEATHS of them die, the second only when all the others know of the first.
 *
 *   at_most_once  at most one of the two is allowed to run.
 *
 * Code: state/dedup, coordination/dedup. Not modeled: the end of the window (records
 * do not expire here), the answer's path to the second caller, boxes that join.
 * Every box has been up for a whole window before the model starts.
 *
 * Deliberate faults: ONE_COPY, NO_RANK_CHECK, FORGET_CONFIRMED, COPY_NOT_SURE,
 * NO_COVER_CHECK.
 */

#ifndef DEATHS
#define DEATHS 1
#endif
#define BOXES 3
#define NOBODY 9

bool dead[BOXES];
byte deaths = 0;
/* known_dead[b] has bit x set when box b knows that box x is dead. */
byte known_dead[BOXES];
/* The request named by each box's record of the key; 0 means no record. */
byte record[BOXES];
bool confirmed[BOXES];
byte allowed_to_run = 0; /* bit r: request r was allowed to run */

#define sees_dead(b, x) ((known_dead[b] & (1 << x)) != 0)

/* Sets r1 and r2 to the boxes that rank first and second in the view of box b. */
inline rank(b, r1, r2) {
	r1 = NOBODY; r2 = NOBODY;
	if
	:: !sees_dead(b, 0) -> r1 = 0
	:: else -> skip
	fi;
	if
	:: !sees_dead(b, 1) -> if :: r1 == NOBODY -> r1 = 1 :: else -> r2 = 1 fi
	:: else -> skip
	fi;
	if
	:: !sees_dead(b, 2) ->
		if
		:: r1 == NOBODY -> r1 = 2
		:: r1 != NOBODY && r2 == NOBODY -> r2 = 2
		:: else -> skip
		fi
	:: else -> skip
	fi
}

/* A request may ask any box, because the views of the ranks differ. */
proctype request(byte r) {
	byte asked, first, second, second_view_first, second_view_second;
	bool ranked;
again:	if
	:: asked = 0
	:: asked = 1
	:: asked = 2
	:: goto done /* the caller gives up */
	fi;
	atomic {
		if
		:: dead[asked] -> goto again
		:: else -> skip
		fi;
		rank(asked, first, second);
		ranked = (first == asked || second == asked);
		if
#ifndef NO_RANK_CHECK
		:: !ranked -> goto again
#endif
		:: else -> skip
		fi;
		if
		:: record[asked] != 0 && record[asked] != r -> goto done /* waits for the answer of the other request */
		:: else -> record[asked] = r
		fi;
		/* The other of the two top boxes, in the view of the asked box. */
		if
		:: second == asked -> second = first
		:: else -> skip
		fi
	}
#ifdef ONE_COPY
	second = NOBODY;
#endif
	if
	:: second == NOBODY -> skip
	:: else ->
		/* The copy may take any time, and any other step may happen meanwhile. */
		atomic {
			if
			:: dead[second] -> goto timed_out
			:: else -> skip
			fi;
			rank(second, second_view_first, second_view_second);
			if
#ifndef NO_RANK_CHECK
			:: second_view_first != second && second_view_second != second -> goto timed_out
#endif
			:: else -> skip
			fi;
			if
			:: record[second] != 0 && record[second] != r ->
				if
				:: !dead[asked] && record[asked] == r && !confirmed[asked] -> record[asked] = 0
				:: else -> skip
				fi;
				goto done /* waits for the answer of the other request */
#ifdef COPY_NOT_SURE
			:: else -> record[second] = r
#else
			/* From here on the first box may have allowed it to run. */
			:: else -> record[second] = r; confirmed[second] = true
#endif
			fi
		};
		if
		:: goto timed_out /* the answer is lost or late */
		:: skip
		fi
	fi;
	atomic {
		if
		:: dead[asked] -> goto done
		:: else -> skip
		fi;
		/* Boxes 0 and 1 have ranked first from the start. If neither is asked, a
		 * record may have been lost with them: the answer is "unknown". */
		if
#ifndef NO_COVER_CHECK
		:: asked == 2 && second == NOBODY -> goto done
#endif
		:: else -> skip
		fi;
		confirmed[asked] = true;
		allowed_to_run = allowed_to_run | (1 << r);
		assert(allowed_to_run == (1 << r)) /* at_most_once */
	};
	if
	:: goto again /* the reply was lost: the same request claims again */
	:: goto done
	fi;
timed_out:
	atomic {
		if
#ifdef FORGET_CONFIRMED
		:: !dead[asked] && record[asked] == r -> record[asked] = 0
#else
		:: !dead[asked] && record[asked] == r && !confirmed[asked] -> record[asked] = 0
#endif
		:: else -> skip
		fi
	};
	goto again;
done:	skip
}

proctype deaths_and_notifications() {
	byte x;
end:	do
	:: atomic { deaths < DEATHS &&
		/* The second box dies only when the live boxes know of the first death. */
		(deaths == 0 || (dead[0] -> (dead[1] || sees_dead(1, 0)) && (dead[2] || sees_dead(2, 0)) : true)
		&& (dead[1] -> (dead[0] || sees_dead(0, 1)) && (dead[2] || sees_dead(2, 1)) : true)
		&& (dead[2] -> (dead[0] || sees_dead(0, 2)) && (dead[1] || sees_dead(1, 2)) : true)) ->
		if
		:: !dead[0] -> dead[0] = true; record[0] = 0; confirmed[0] = false
		:: !dead[1] -> dead[1] = true; record[1] = 0; confirmed[1] = false
		:: !dead[2] -> dead[2] = true; record[2] = 0; confirmed[2] = false
		fi;
		deaths++ }
	:: atomic { dead[0] && !sees_dead(1, 0) -> known_dead[1] = known_dead[1] | 1 }
	:: atomic { dead[0] && !sees_dead(2, 0) -> known_dead[2] = known_dead[2] | 1 }
	:: atomic { dead[1] && !sees_dead(0, 1) -> known_dead[0] = known_dead[0] | 2 }
	:: atomic { dead[1] && !sees_dead(2, 1) -> known_dead[2] = known_dead[2] | 2 }
	:: atomic { dead[2] && !sees_dead(0, 2) -> known_dead[0] = known_dead[0] | 4 }
	:: atomic { dead[2] && !sees_dead(1, 2) -> known_dead[1] = known_dead[1] | 4 }
	od
}

init {
	atomic { run request(1); run request(2); run deaths_and_notifications() }
}
