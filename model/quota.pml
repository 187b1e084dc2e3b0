/* Copyright 2026 The Runridge Authors. All rights reserved.
 * SPDX-License-Identifier: MIT
 *
 * The quota of one account over two halves of a fleet, with the first box in its
 * rank in one half and the second in the other. Time is counted in ticks. The
 * halves are cut apart or the first box dies and comes back, and the views of the
 * boxes follow at any of the next LAG ticks. A home fills its bucket each tick and
 * gives out all that it has, or nothing.
 *
 *   within  in no window of WINDOW ticks is more given out than RATE a tick, BURST
 *           and SLACK, which stands for the rules' overage and slack.
 *
 * Code: state/quota, coordination/quota. Deliberate faults: FULL_START (a new home
 * starts with a full bucket), NO_PART (a half gives out the whole), NO_FINDING_OUT
 * (the second decides though it reaches the first), WHOLE_STAND_IN (the second
 * stands in for a silent first with the whole quota).
 */

#define RATE 2
#define BURST 4
#define WINDOW 4
#define LAG 2
/* Half of the rate for one tick, in which the second may stand in beside the first. */
#define SLACK 1
#ifndef HORIZON
#define HORIZON 12
#endif
#define TROUBLES 2

byte now = 0;
byte troubles = 0;

/* What is so, since when, and what the boxes believe. */
bool cut = false;
bool dead = false;
byte changed = 0;
bool seen_cut = false;
bool seen_dead = false;

/* The buckets of the first and the second in rank. */
byte first = 0;
byte second = 0;
/* What the second is: no home, standing in, home of its half, home. */
mtype = { none, standing, half, whole };
mtype role = none;

byte given[WINDOW];
byte total = 0;

inline fill(bucket, rate, burst) {
	bucket = bucket + rate;
	if
	:: bucket > burst -> bucket = burst
	:: else
	fi
}

inline become(r) {
	if
	:: role != r ->
		if
		:: role == none ->
#ifdef FULL_START
			second = BURST
#else
			second = 0
#endif
		:: else
		fi;
		role = r
	:: else
	fi
}

inline give(bucket) {
	if
	:: total = total + bucket; given[now % WINDOW] = given[now % WINDOW] + bucket; bucket = 0
	:: true
	fi
}

active proctype fleet() {
	do
	:: now < HORIZON ->
		atomic {
			/* A trouble begins or ends. */
			if
			:: !cut && !dead && troubles < TROUBLES -> cut = true; troubles++; changed = now
			:: !cut && !dead && troubles < TROUBLES -> dead = true; troubles++; changed = now; first = 0
			:: cut && now - changed >= WINDOW -> cut = false; changed = now
			:: dead && now - changed >= 1 -> dead = false; changed = now; first = 0
			:: true
			fi;
			/* The views follow, at the latest after LAG ticks. */
			if
			:: seen_cut = cut; seen_dead = dead
			:: now - changed < LAG
			fi;
			total = total - given[now % WINDOW];
			given[now % WINDOW] = 0;
			/* The first in rank. */
			if
			:: dead
#ifdef NO_PART
			:: !dead -> fill(first, RATE, BURST); give(first)
#else
			:: !dead && seen_cut -> fill(first, RATE / 2, BURST / 2); give(first)
			:: !dead && !seen_cut -> fill(first, RATE, BURST); give(first)
#endif
			fi;
			/* The second. */
			if
			:: seen_dead && dead -> become(whole); fill(second, RATE, BURST); give(second)
			:: seen_cut && cut ->
				become(half);
#ifdef NO_PART
				fill(second, RATE, BURST);
#else
				fill(second, RATE / 2, BURST / 2);
#endif
				give(second)
#ifdef NO_FINDING_OUT
			:: !(seen_dead && dead) && !(seen_cut && cut) ->
#else
			:: !(seen_dead && dead) && !(seen_cut && cut) && (cut || dead) ->
#endif
				become(standing);
#ifdef WHOLE_STAND_IN
				fill(second, RATE, BURST);
#else
				fill(second, RATE / 2, BURST / 2);
#endif
				give(second)
#ifndef NO_FINDING_OUT
			:: !cut && !dead -> role = none; second = 0
#endif
			fi;
			assert(total <= RATE * WINDOW + BURST + SLACK);
			now++
		}
	:: else -> break
	od
}
