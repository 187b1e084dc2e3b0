/* Copyright 2026 The Runridge Authors. All rights reserved.
 * SPDX-License-Identifier: MIT
 *
 * Two boxes send orders to one engine under a lease in the platform. Time is
 * counted in ticks; a box may pause for any number of ticks without noticing.
 * A box acquires the lease by compare-and-set whenever it wants to send orders, and
 * stops sending WINDOW ticks after the start of its last write. A box that takes the
 * lease over from another waits until the other's window has passed, its orders are
 * no longer in flight, and another TERM ticks. An order is in flight for at most
 * FLIGHT ticks, after which its connection is closed.
 *
 *   fence_grows      an engine that checks fences accepts no order with a lower
 *                    fence than one that it has accepted;
 *   newest_last      the last order that an engine without that check accepts is
 *                    that of the newest holder;
 *   no_interleaving  orders of two boxes do not reach the engine within TERM ticks
 *                    of each other.
 *
 * With PAUSE_BEFORE_SEND a box may pause between its last look at the clock and
 * the write to the connection. Then only fence_grows is guaranteed: an engine that
 * does not check fences may accept a late order, and the count of orders that each
 * order names keeps it from being carried out.
 *
 * Code: coordination/stages. Deliberate faults: NO_FENCE_CHECK (the engine accepts
 * any order), NO_WAIT (a box that takes over does not wait), NO_TERM (it waits only
 * for the other's orders), NO_SEND_WINDOW (the holder assumes that it still holds).
 */

#ifdef NO_SEND_WINDOW
#define in_window(b) (true)
#else
#define in_window(b) (now - renewed_at[b] < WINDOW)
#endif

#define TERM 2
#define WINDOW 2
#define FLIGHT 1
#ifndef HORIZON
#define HORIZON 11
#endif

byte now = 0;

/* The lease object: its holder, fence and version. */
byte holder = 0;
byte fence = 0;
byte version = 0;

/* Each box. */
byte my_fence[3];
byte renewed_at[3]; /* tick at the start of the last write of the lease */
byte may_send_from[3];
bool sent[3];

/* At most one order of each box is in flight: its fence (0: none), and the tick
 * at which it was sent. */
byte in_flight[3];
byte decided[3]; /* fence of an order decided but not yet sent, with PAUSE_BEFORE_SEND */
byte sent_at[3];

/* The highest fence accepted by an engine that checks fences, and the last one
 * accepted by an engine that does not. */
byte checking_engine_fence = 0;
byte plain_engine_fence = 0;

/* The box whose order reached the engine last, and the tick. */
byte last_holder = 0;
byte last_arrival = 0;

inline acquire(b) {
	if
#ifndef NO_WAIT
	:: holder != 0 && holder != b ->
#ifdef NO_TERM
		may_send_from[b] = now + WINDOW + FLIGHT
#else
		may_send_from[b] = now + WINDOW + FLIGHT + TERM
#endif
#endif
	:: else -> skip
	fi;
	holder = b; fence++; version++;
	my_fence[b] = fence; renewed_at[b] = now; sent[b] = false
}

proctype box(byte b) {
end:	do
	:: atomic { now < HORIZON && holder == 0 -> acquire(b) }
	:: atomic { now < HORIZON && holder == b && my_fence[b] == fence && renewed_at[b] != now ->
		version++; renewed_at[b] = now }
	:: atomic { now < HORIZON && holder != b && holder != 0 && fence < 3 -> acquire(b) }
	/* A box sends by its own view; it may have lost the lease without noticing. */
#ifdef PAUSE_BEFORE_SEND
	:: atomic { my_fence[b] > 0 && !sent[b] && decided[b] == 0 && now >= may_send_from[b] && in_window(b) ->
		decided[b] = my_fence[b]; sent[b] = true }
	:: atomic { decided[b] > 0 && in_flight[b] == 0 -> in_flight[b] = decided[b]; sent_at[b] = now; decided[b] = 0 }
#else
	:: atomic { my_fence[b] > 0 && !sent[b] && in_flight[b] == 0 && now >= may_send_from[b] && in_window(b) ->
		in_flight[b] = my_fence[b]; sent_at[b] = now; sent[b] = true }
#endif
	od
}

proctype network(byte b) {
end:	do
	:: atomic { in_flight[b] > 0 -> /* arrives */
		if
#ifndef NO_FENCE_CHECK
		:: in_flight[b] < checking_engine_fence -> skip
#endif
		:: else ->
			assert(in_flight[b] >= checking_engine_fence); /* fence_grows */
			checking_engine_fence = in_flight[b]
		fi;
#ifndef PAUSE_BEFORE_SEND
		assert(in_flight[b] >= plain_engine_fence); /* newest_last */
		assert(last_holder == 0 || last_holder == b || now - last_arrival >= TERM); /* no_interleaving */
		last_holder = b; last_arrival = now;
#endif
		plain_engine_fence = in_flight[b]; in_flight[b] = 0 }
	:: atomic { in_flight[b] > 0 -> in_flight[b] = 0 } /* the connection is closed */
	od
}

/* Time advances only while no order is overdue. */
proctype clock() {
end:	do
	:: atomic { now < HORIZON &&
		(in_flight[1] == 0 || now - sent_at[1] < FLIGHT) &&
		(in_flight[2] == 0 || now - sent_at[2] < FLIGHT) -> now++ }
	od
}

init {
	atomic { run box(1); run box(2); run network(1); run network(2); run clock() }
}
