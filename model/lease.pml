/* Copyright 2026 The Runridge Authors. All rights reserved.
 * SPDX-License-Identifier: MIT
 *
 * Two boxes give orders to one engine under a lease in the platform. Time is
 * counted in ticks; a box may stand still for any number of them and not know
 * it. A box takes the lease by compare-and-set whenever it wants to give orders, and
 * stops sending WINDOW ticks after the beginning of its last write. One that takes it
 * from another waits until the other's window is over, its orders are no longer on
 * their way, and TERM ticks beside. An order may be on its way for FLIGHT ticks at
 * most, after which its connection is cut.
 *
 *   fence_grows   an engine that checks fences takes no order with a lower
 *                 fence than one that it has taken;
 *   newest_stands an engine that does not check them ends with the order of
 *                 the newest holder;
 *   no_turns      orders of two boxes do not reach the engine within TERM ticks of
 *                 each other.
 *
 * With PAUSE_BEFORE_SEND a box may stand still between its last look at the
 * clock and the write to the connection. Then only fence_grows is promised: an
 * engine that does not check may take a late order, and the count of orders that
 * each order names keeps it from being carried out.
 *
 * Code: coordination/stages. Deliberate faults: NO_FENCE_CHECK (the engine takes
 * any order), NO_WAIT (a taker does not wait), NO_TERM (it waits for the other's
 * orders only), NO_SEND_WINDOW (the holder trusts that it still holds).
 */

#ifdef NO_SEND_WINDOW
#define in_window(b) (true)
#else
#define in_window(b) (now - renewed[b] < WINDOW)
#endif

#define TERM 2
#define WINDOW 2
#define FLIGHT 1
#ifndef HORIZON
#define HORIZON 11
#endif

byte now = 0;

/* The lease object: who holds it, its fence, its version. */
byte holder = 0;
byte fence = 0;
byte version = 0;

/* Each box. */
byte my_fence[3];
byte renewed[3];      /* tick at the beginning of the last renewal */
byte may_send_from[3];
bool sent[3];

/* At most one order of each box on its way: its fence, and when it was sent. */
byte way[3];
byte going[3]; /* decided and not yet sent, with PAUSE_BEFORE_SEND */
byte way_since[3];

/* The two kinds of engine. */
byte checking_fence = 0;
byte plain_fence = 0;

/* What reached the engine last, and when. */
byte last_holder = 0;
byte last_at = 0;

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
	my_fence[b] = fence; renewed[b] = now; sent[b] = false
}

proctype box(byte b) {
end:	do
	:: atomic { now < HORIZON && holder == 0 -> acquire(b) }
	:: atomic { now < HORIZON && holder == b && my_fence[b] == fence && renewed[b] != now ->
		version++; renewed[b] = now }
	:: atomic { now < HORIZON && holder != b && holder != 0 && fence < 3 -> acquire(b) }
	/* A box sends by what it believes; it may have lost the lease unaware. */
#ifdef PAUSE_BEFORE_SEND
	:: atomic { my_fence[b] > 0 && !sent[b] && going[b] == 0 && now >= may_send_from[b] && in_window(b) ->
		going[b] = my_fence[b]; sent[b] = true }
	:: atomic { going[b] > 0 && way[b] == 0 -> way[b] = going[b]; way_since[b] = now; going[b] = 0 }
#else
	:: atomic { my_fence[b] > 0 && !sent[b] && way[b] == 0 && now >= may_send_from[b] && in_window(b) ->
		way[b] = my_fence[b]; way_since[b] = now; sent[b] = true }
#endif
	od
}

proctype network(byte b) {
end:	do
	:: atomic { way[b] > 0 -> /* arrives */
		if
#ifndef NO_FENCE_CHECK
		:: way[b] < checking_fence -> skip
#endif
		:: else ->
			assert(way[b] >= checking_fence); /* fence_grows */
			checking_fence = way[b]
		fi;
#ifndef PAUSE_BEFORE_SEND
		assert(way[b] >= plain_fence); /* newest_stands */
		assert(last_holder == 0 || last_holder == b || now - last_at >= TERM); /* no_turns */
		last_holder = b; last_at = now;
#endif
		plain_fence = way[b]; way[b] = 0 }
	:: atomic { way[b] > 0 -> way[b] = 0 } /* cut */
	od
}

/* Time passes only when no order is overdue. */
proctype clock() {
end:	do
	:: atomic { now < HORIZON &&
		(way[1] == 0 || now - way_since[1] < FLIGHT) &&
		(way[2] == 0 || now - way_since[2] < FLIGHT) -> now++ }
	od
}

init {
	atomic { run box(1); run box(2); run network(1); run network(2); run clock() }
}
