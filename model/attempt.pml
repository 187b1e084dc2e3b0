/* Copyright 2026 The Runridge Authors. All rights reserved.
 * SPDX-License-Identifier: MIT
 *
 * One request with up to two attempts, each on its own engine, over a network
 * that loses and reorders messages. The caller may disconnect, the box may be
 * silent for a while or die, and one engine may die.
 * Properties, by the name in the comment of their assertion:
 *
 *   current_attempt  the caller only receives the answer of the current attempt;
 *   one_answer       the caller receives at most one final answer;
 *   not_run          "not run" is reported only if no engine ran the request;
 *   once             with ONCE, the request runs on at most one engine;
 *   live_kept        a hold is not released as a dead box's while its box lives;
 *   no_hold          when no step is possible, no live engine has a hold.
 *
 * Code: state/lifecycle, coordination/cleanup, coordination/watch. Not modeled:
 * the prefill and its transfer (one order stands for both), scheduling, and
 * time: every possible step may happen at once or late.
 *
 * Deliberate faults: NO_ATTEMPT_ID, NO_TOMBSTONE, SILENCE_IS_PROOF,
 * NO_ONCE_GUARD, FORGET_RAN, NO_RELEASE_RETRY.
 */

#ifndef ONCE
#define ONCE 0
#endif

#ifdef NO_RELEASE_RETRY
#define may_send_release(tried) (!tried)
#else
#define may_send_release(tried) (true)
#endif

#define ATTEMPTS 3 /* index 0 is not used */

/* The messages in flight, by attempt. */
bool order_in_flight[ATTEMPTS], release_in_flight[ATTEMPTS], answer_in_flight[ATTEMPTS], refusal_in_flight[ATTEMPTS];

/* The engine of each attempt. */
bool holds[ATTEMPTS], tombstone[ATTEMPTS], engine_dead[ATTEMPTS];
/* Which failures are possible is chosen at the start, so that there are also
 * runs that come to rest without them. */
byte deaths = 1;
bool may_die = false, was_silent = true;
byte runs = 0;

/* The box. */
byte attempt = 1;
bool reading = true;       /* the box reads the answer of the current attempt */
bool ended = false, box_dead = false, silent = false;
bool may_have_run = false, reported_not_run = false;
byte answers = 0;
bool must_release[ATTEMPTS], acknowledged[ATTEMPTS];

proctype engine(byte a) {
end:	do
	:: atomic { order_in_flight[a] -> order_in_flight[a] = false;
		if
		:: engine_dead[a] -> skip
#ifndef NO_TOMBSTONE
		:: !engine_dead[a] && tombstone[a] -> refusal_in_flight[a] = true
#endif
		:: !engine_dead[a] && !tombstone[a] -> refusal_in_flight[a] = true /* full */
#ifndef NO_TOMBSTONE
		:: !engine_dead[a] && !tombstone[a] ->
#else
		:: !engine_dead[a] ->
#endif
			holds[a] = true; runs++;
			assert(!ONCE || runs <= 1); /* once */
			assert(!reported_not_run) /* not_run */
		fi }
	:: atomic { order_in_flight[a] -> order_in_flight[a] = false } /* lost */
	:: atomic { release_in_flight[a] -> release_in_flight[a] = false;
		if
		:: !engine_dead[a] -> holds[a] = false; tombstone[a] = true
		:: else -> skip
		fi;
		acknowledged[a] = true }
	:: atomic { release_in_flight[a] -> release_in_flight[a] = false } /* lost */
	:: atomic { holds[a] && reading && attempt == a && !box_dead ->
		holds[a] = false; answer_in_flight[a] = true }
	:: atomic { answer_in_flight[a] -> answer_in_flight[a] = false } /* lost */
	:: atomic { deaths == 0 -> deaths++; engine_dead[a] = true; holds[a] = false }
	od
}

inline finish(claim_not_run) {
	answers++;
	assert(answers <= 1); /* one_answer */
	reported_not_run = claim_not_run;
	assert(!reported_not_run || runs == 0); /* not_run */
	ended = true; reading = false
}

inline next_attempt() {
	attempt = 2; order_in_flight[2] = true; must_release[2] = true
}

proctype box() {
	atomic { order_in_flight[1] = true; must_release[1] = true }
end:	do
	:: atomic { !ended && !box_dead && answer_in_flight[1] -> answer_in_flight[1] = false;
		if
#ifdef NO_ATTEMPT_ID
		:: true -> assert(attempt == 1); /* current_attempt */ finish(false)
#else
		:: attempt == 1 -> assert(attempt == 1); /* current_attempt */ finish(false)
		:: attempt != 1 -> skip
#endif
		fi }
	:: atomic { !ended && !box_dead && answer_in_flight[2] -> answer_in_flight[2] = false;
		finish(false) }
	:: atomic { !ended && !box_dead && refusal_in_flight[1] && attempt == 1 ->
		refusal_in_flight[1] = false; next_attempt() }
	:: atomic { !ended && !box_dead && refusal_in_flight[2] && attempt == 2 ->
		refusal_in_flight[2] = false; finish(!may_have_run) }
	:: atomic { !ended && !box_dead && attempt == 1 -> /* no answer in time */
#ifndef FORGET_RAN
		may_have_run = true;
#endif
		if
#ifndef NO_ONCE_GUARD
		:: ONCE -> finish(!may_have_run)
		:: !ONCE -> next_attempt()
#else
		:: true -> next_attempt()
#endif
		fi }
	:: atomic { !ended && !box_dead && attempt == 2 -> /* no answer in time */
		may_have_run = true; finish(!may_have_run) }
	:: atomic { !ended && !box_dead -> ended = true; reading = false } /* the caller disconnected */
	:: atomic { !was_silent && !box_dead -> silent = true; was_silent = true }
	:: atomic { silent -> silent = false }
	:: atomic { may_die && !box_dead -> box_dead = true; reading = false }
	od
}

/* Sends releases for the holds of the box until they are acknowledged. */
proctype releaser(byte a) {
	bool tried = false;
end:	do
	:: atomic { must_release[a] && (ended || attempt != a) && !acknowledged[a] && !release_in_flight[a] && !box_dead && may_send_release(tried) ->
		release_in_flight[a] = true; tried = true }
	od
}

/* The home of the group releases holds whose box is dead. */
proctype home(byte a) {
end:	do
#ifdef SILENCE_IS_PROOF
	:: atomic { holds[a] && !release_in_flight[a] && (silent || box_dead) ->
#else
	:: atomic { holds[a] && !release_in_flight[a] && box_dead ->
#endif
		assert(box_dead); /* live_kept */
		release_in_flight[a] = true }
	od
}

/* Runs only when no other process can take a step. */
proctype quiet() {
end:	timeout -> assert(!holds[1] && !holds[2]) /* no_hold */
}

init {
	atomic {
		if :: deaths = 0 :: skip fi;
		if :: may_die = true :: skip fi;
		if :: was_silent = false :: skip fi;
		run box(); run quiet();
		run engine(1); run releaser(1); run home(1);
		run engine(2); run releaser(2); run home(2)
	}
}
