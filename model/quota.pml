/* Copyright 2026 The Runridge Authors. All rights reserved.
 * SPDX-License-Identifier: MIT
 *
 * The quota of one client account across two halves of a fleet; the box that ranks
 * first for it is in one half, the second in the other. Time is counted in ticks. The
 * halves are partitioned from each other, or the first box dies and returns; the views
 * of the boxes catch up at any of the next LAG ticks. A home fills its bucket each tick
 * and admits either all that the bucket holds or nothing.
 *
 *   within  in no window of WINDOW ticks is more admitted than RATE per tick, plus
 *           BURST and SLACK, which stands for the overage and slack of the rules.
 *
 * Code: state/quota, coordination/quota. Deliberate faults: FULL_START (a new home
 * starts with a full bucket), NO_PART (each half admits the whole quota),
 * NO_FINDING_OUT (the second decides although it reaches the first), WHOLE_STAND_IN
 * (the second stands in for a silent first with the whole quota).
 */

#define RATE 2
#define BURST 4
#define WINDOW 4
#define LAG 2
/* Half of the rate for the one tick in which the second may stand in while the
 * first also admits. */
#define SLACK 1
#ifndef HORIZON
#define HORIZON 12
#endif
#define MAX_DISRUPTIONS 2

byte now = 0;
byte disruptions = 0;

/* The actual state, the tick of its last change, and the view of the boxes. */
bool partitioned = false;
bool dead = false;
byte changed_at = 0;
bool seen_partitioned = false;
bool seen_dead = false;

/* The buckets of the boxes that rank first and second. */
byte first_bucket = 0;
byte second_bucket = 0;
/* The role of the second box: not a home, standing in for the first, home of its
 * half, home of the whole fleet. */
mtype = { none, standing_in, home_of_half, home_of_whole };
mtype role = none;

byte admitted[WINDOW];
byte admitted_in_window = 0;

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
			second_bucket = BURST
#else
			second_bucket = 0
#endif
		:: else
		fi;
		role = r
	:: else
	fi
}

inline admit(bucket) {
	if
	:: admitted_in_window = admitted_in_window + bucket; admitted[now % WINDOW] = admitted[now % WINDOW] + bucket; bucket = 0
	:: true
	fi
}

active proctype fleet() {
	do
	:: now < HORIZON ->
		atomic {
			/* A disruption begins or ends. */
			if
			:: !partitioned && !dead && disruptions < MAX_DISRUPTIONS -> partitioned = true; disruptions++; changed_at = now
			:: !partitioned && !dead && disruptions < MAX_DISRUPTIONS -> dead = true; disruptions++; changed_at = now; first_bucket = 0
			:: partitioned && now - changed_at >= WINDOW -> partitioned = false; changed_at = now
			:: dead && now - changed_at >= 1 -> dead = false; changed_at = now; first_bucket = 0
			:: true
			fi;
			/* The views catch up, at the latest after LAG ticks. */
			if
			:: seen_partitioned = partitioned; seen_dead = dead
			:: now - changed_at < LAG
			fi;
			admitted_in_window = admitted_in_window - admitted[now % WINDOW];
			admitted[now % WINDOW] = 0;
			/* The box that ranks first. */
			if
			:: dead
#ifdef NO_PART
			:: !dead -> fill(first_bucket, RATE, BURST); admit(first_bucket)
#else
			:: !dead && seen_partitioned -> fill(first_bucket, RATE / 2, BURST / 2); admit(first_bucket)
			:: !dead && !seen_partitioned -> fill(first_bucket, RATE, BURST); admit(first_bucket)
#endif
			fi;
			/* The box that ranks second. */
			if
			:: seen_dead && dead -> become(home_of_whole); fill(second_bucket, RATE, BURST); admit(second_bucket)
			:: seen_partitioned && partitioned ->
				become(home_of_half);
#ifdef NO_PART
				fill(second_bucket, RATE, BURST);
#else
				fill(second_bucket, RATE / 2, BURST / 2);
#endif
				admit(second_bucket)
#ifdef NO_FINDING_OUT
			:: !(seen_dead && dead) && !(seen_partitioned && partitioned) ->
#else
			:: !(seen_dead && dead) && !(seen_partitioned && partitioned) && (partitioned || dead) ->
#endif
				become(standing_in);
#ifdef WHOLE_STAND_IN
				fill(second_bucket, RATE, BURST);
#else
				fill(second_bucket, RATE / 2, BURST / 2);
#endif
				admit(second_bucket)
#ifndef NO_FINDING_OUT
			:: !partitioned && !dead -> role = none; second_bucket = 0
#endif
			fi;
			assert(admitted_in_window <= RATE * WINDOW + BURST + SLACK); /* within */
			now++
		}
	:: else -> break
	od
}
