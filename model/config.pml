/* Copyright 2026 The Runridge Authors. All rights reserved.
 * SPDX-License-Identifier: MIT
 *
 * Two operators change the table concurrently, and the answer to a write may be
 * lost after the write took effect. Two boxes read the table, possibly from a
 * stale replica, announce the generation they have in force to each other, and
 * one of them restarts.
 *
 *   never_older     the generation in force on a box never decreases, and a box
 *                   that restarts while another lives does not start with an
 *                   older generation than it had;
 *   no_lost_update  every accepted change stays: the number of accepted changes
 *                   is the generation;
 *   correct_reply   an operator is told "accepted" exactly if the change was.
 *
 * Code: coordination/follow, cmd/runridgectl. Not modeled: the contents of the
 * table (a write is represented by its writer), and the tree along which changes
 * are distributed.
 *
 * Deliberate faults: NO_GENERATION_CHECK, NO_VERSION_CHECK, NO_READ_BACK,
 * NO_GATE.
 */

#define WRITES 2

/* The platform's object. Version 0 means that it does not exist; by[v] is the
 * writer of version v. */
byte version = 0;
byte by[8];
byte accepted = 0;

/* The boxes. */
byte in_force[2];       /* generation in force */
byte before_restart[2]; /* generation in force before the restart */
byte announced[2];      /* latest generation received from the other box */
bool starting[2];       /* has just started and waits at the gate before it serves */
bool restarted = false;

inline write(me, seen, ok) {
	/* A conditional write; its answer may be lost. */
	if
#ifndef NO_VERSION_CHECK
	:: version != seen -> ok = false
	:: version == seen ->
#else
	:: true ->
#endif
		version++; by[version] = me; accepted++; ok = true
	fi
}

proctype operator(byte me) {
	byte seen, writes_done, i;
	bool ok, lost, took_effect;
	do
	:: writes_done == WRITES -> break
	:: writes_done < WRITES ->
		seen = version;
		took_effect = false;
		atomic {
			write(me, seen, ok);
			took_effect = ok;
			if :: lost = true :: lost = false fi
		};
		if
		:: lost ->
#ifdef NO_READ_BACK
			ok = false;
#else
			/* Check whether this operator wrote the version after the one it read.
			 * Others may have written later versions meanwhile. */
			atomic { ok = (version > seen && by[seen + 1] == me) };
#endif
		:: else -> skip
		fi;
		assert(ok == took_effect); /* correct_reply */
		writes_done++
	od;
	assert(accepted == version) /* no_lost_update */
}

proctype box(byte b) {
	byte read_generation;
end:	do
	:: atomic { version > 0 ->
		/* The read may be stale. */
		if
		:: read_generation = version
		:: version > 1 -> read_generation = version - 1
		fi };
		atomic {
			if
#ifndef NO_GENERATION_CHECK
			:: read_generation <= in_force[b] -> skip
#endif
#ifndef NO_GATE
			/* At the gate: refuse a generation older than the one the other box announced. */
			:: starting[b] && read_generation < announced[b] -> skip
			:: starting[b] && announced[b] == 0 && in_force[1 - b] > 0 -> skip /* nothing received yet */
#endif
			:: else ->
				assert(read_generation >= in_force[b] && read_generation >= before_restart[b]); /* never_older */
				in_force[b] = read_generation; starting[b] = false
			fi
		}
	:: atomic { in_force[1 - b] > announced[b] -> announced[b] = in_force[1 - b] }
	:: atomic { !starting[b] && announced[b] > in_force[b] -> in_force[b] = announced[b] } /* fetched from the other box */
	:: atomic { starting[b] && announced[b] > 0 && announced[b] >= before_restart[b] -> in_force[b] = announced[b]; starting[b] = false }
	:: atomic { !restarted && in_force[b] > 0 && in_force[1 - b] >= in_force[b] ->
		/* Only once the other box has the table too, which takes it seconds. */
		restarted = true; before_restart[b] = in_force[b]; in_force[b] = 0; announced[b] = 0; starting[b] = true }
	od
}

init {
	atomic { run operator(1); run operator(2); run box(0); run box(1) }
}
