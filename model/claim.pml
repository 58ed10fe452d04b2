// One non-idempotent request at its owner, with two routers that may be the
// owner's witness, a third router that may close it without a log, and a fourth
// that may be offered the slot. A router that crashes, pauses or is partitioned
// takes no further step, so the interleavings cover these faults. A lost message
// is one that is never received.
//
// The owner's log has two records: 1 is the begin, 2 the settlement. Each store
// holds a prefix of the log, so a number states what it holds.
//
// The properties: the request runs at most once and has at most one bill, and a
// closing with the log has billed every settlement that the caller received.
//
// mutants: NO_RECORD NO_SEAL NO_TAIL BLIND_CLOSE BLIND_FILE BLIND_KEY ONE_WITNESS EMPTY_WITNESS FORGET_LOST NO_FREEZE MOVE_EARLY FORGET_POINTER NO_SLOT

// The routers: D is the owner, W its witness, V the replacement of the witness, E
// closes the owner without a log, and N is offered the slot.
#define W 1
#define V 2
#define E 3
#define N 4
#define D 5

// The table: the owner's node row, its bill rows and the slots row. exact is set
// if the closing had the log; final is the last record that it found.
bool open = true;
byte version = 1;
byte named = W;
byte filed = 0;
byte owner = D;
bool exact = false;
byte final = 0;

// The witnesses.
byte held[3];
bool sealed[3];

// The owner's log and its view of the witnesses. naming is set while the write of
// the next witness to the node row is in flight; known is the last record known to
// be filed.
byte head = 0;
byte first = W;
byte next = 0;
bool naming = false;
byte known = 0;

// The handoff of the slot to N: 1 offered, 2 accepted, 3 being moved, 4 over.
// pointer is set if the offer has a reference to the request at D, copied if N has
// stored the claims of the offer.
byte offer = 0;
bool pointer = false;
bool copied = false;

// The effects visible outside the routers.
byte runs = 0;
byte bills = 0;
bool answered = false;

inline ran() {
	runs++;
	assert(runs <= 1)
}

inline bill() {
	bills++;
	assert(bills <= 1)
}

// A record is stable once it is filed, or held by every witness that the node row
// may name.
#define ACKED(n) (held[first] >= n)
#define NEXT(n) (!naming || held[next] >= n)
#ifdef MUTANT_ONE_WITNESS
#define STABLE(n) (known >= n || ACKED(n))
#else
#define STABLE(n) (known >= n || (ACKED(n) && NEXT(n)))
#endif

#ifdef MUTANT_NO_FREEZE
#define ACCEPTS (owner == D)
#else
#define ACCEPTS (owner == D && offer == 0)
#endif

// The owner's view of its slot is always the table's: only the owner moves the
// slot, or a takeover after the closing, when no request that the owner begins
// can become stable.
active proctype Owner() {
	bool cleared = false;
	bool dispatched = false;
	byte mine = 1;
	byte want = 0;
	bool moving = false;
	byte done = 0;

end:
	do
	// Requests.
	:: atomic { head == 0 && ACCEPTS -> head = 1 }
#ifdef MUTANT_NO_RECORD
	:: atomic { head == 1 && !cleared -> cleared = true }
#else
	:: atomic { head == 1 && !cleared && STABLE(1) -> cleared = true }
#endif
	:: atomic { cleared && !dispatched -> dispatched = true; ran() }
	:: atomic { dispatched && head == 1 -> head = 2 }
	:: atomic { head == 2 && !answered && STABLE(2) ->
		answered = true;
		assert(open || !exact || bills == 1) }

	// Filing, one write at a time, which may take effect long before its answer.
	:: atomic { want == 0 && !naming && known < head -> want = head; done = 0 }
	:: atomic { want > 0 && done == 0 ->
		if
#ifdef MUTANT_BLIND_FILE
		:: filed < want ->
#else
		:: open && version == mine && filed < want ->
#endif
			filed = want;
			if
			:: want == 2 -> bill()
			:: else
			fi
		:: else
		fi;
		done = 1 }
	:: atomic { want > 0 && done == 1 ->
		if
		:: filed >= want -> known = want; want = 0
		:: else -> break
		fi }

	// Replacement of the witness.
	:: atomic { first == W && next == 0 -> next = V }
#ifdef MUTANT_EMPTY_WITNESS
	:: atomic { next == V && !naming && want == 0 ->
#else
	:: atomic { next == V && !naming && want == 0 &&
		(held[V] >= head || !STABLE(held[V] + 1)) ->
#endif
		naming = true; done = 0 }
	:: atomic { naming && done == 0 ->
		if
		:: open && version == mine -> version++; named = V
		:: else
		fi;
		done = 1 }
	:: atomic { naming && done == 1 ->
		if
		:: named == V -> mine = version; first = V; next = 0; naming = false
		:: else -> break
		fi }

	// The handoff of the slot to N; the offer may be withdrawn.
	:: atomic { offer == 0 && owner == D && open -> offer = 1; pointer = (head > 0) }
	:: atomic { offer == 1 || offer == 2 -> offer = 0; copied = false }
#ifdef MUTANT_MOVE_EARLY
	:: atomic { (offer == 1 || offer == 2) && !moving -> moving = true; offer = 3 }
#else
	:: atomic { offer == 2 && !moving -> moving = true; offer = 3 }
#endif
	:: atomic { moving && offer == 3 ->
		if
		:: owner == D -> owner = N
		:: else
		fi;
		offer = 4 }
	od
}

// A witness accepts records until it seals, and may close its primary at any
// time.
proctype Witness(byte w) {
	byte seen = 0;
	byte rows = 0;
	byte tail = 0;

end:
	do
	:: atomic { !sealed[w] && held[w] < head && (w == first || w == next) ->
		held[w]++ }
	:: atomic { seen == 0 && open && named == w -> seen = version; rows = filed }
	:: atomic { seen > 0 ->
#ifndef MUTANT_NO_SEAL
		sealed[w] = true;
#endif
		tail = held[w];
#ifdef MUTANT_NO_TAIL
		tail = 0;
#endif
		break }
	od;
	// Records that only the mutant NO_SEAL still accepts.
	do
	:: atomic { !sealed[w] && held[w] < head && (w == first || w == next) ->
		held[w]++ }
	:: atomic {
#ifdef MUTANT_BLIND_CLOSE
		if
		:: open && filed == rows ->
#else
		if
#ifdef MUTANT_BLIND_KEY
		:: open && version == seen ->
#else
		:: open && version == seen && filed == rows ->
#endif
#endif
			open = false;
			exact = true;
			final = (tail > rows -> tail : rows);
			if
			:: final == 1 || (final == 2 && rows < 2) -> bill()
			:: else
			fi;
			assert(!answered || bills == 1)
		:: else -> goto over
		fi;
		break }
	od;
	if
	:: atomic { owner == D || owner == w ->
		owner = w;
		if
		:: final == 0 -> ran(); bill()
		:: else
		fi }
	:: else
	fi;
over:
	skip
}

// Any router may close the owner if owner and witness seem dead. A key that is
// in no row has an unknown outcome and does not run.
active proctype Closer() {
	byte seen = 0;
	byte rows = 0;

end:
	atomic { open -> seen = version; rows = filed };
	atomic {
		if
		:: open && version == seen && filed == rows ->
			open = false;
			final = rows;
			if
			:: final == 1 -> bill()
			:: else
			fi
		:: else -> goto over
		fi };
	if
	:: atomic { owner == D -> owner = E;
#ifdef MUTANT_FORGET_LOST
		if
		:: final == 0 -> ran()
		:: else
		fi;
#endif
		}
	:: else
	fi;
over:
	skip
}

// N files the claims of an offer, and owns the slot once the slots row names it.
active proctype Receiver() {
end:
	do
	:: atomic { offer == 1 -> copied = true; offer = 2 }
#ifdef MUTANT_NO_SLOT
	:: atomic { copied && !pointer -> ran(); bill(); break }
#else
	// A key without a copied claim is new.
	:: atomic { owner == N && (!copied || !pointer) -> ran(); bill(); break }
#endif
	// A pointer to a closed incarnation is looked up in its rows.
#ifdef MUTANT_FORGET_POINTER
	:: atomic { owner == N && copied && pointer && !open && final == 0 -> ran(); break }
#else
	:: atomic { owner == N && copied && pointer && !open && final == 0 && exact ->
		ran(); bill(); break }
#endif
	od
}

init {
	atomic {
		run Witness(W);
		run Witness(V)
	}
}
