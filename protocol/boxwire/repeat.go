// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import "runridge.example/runridge/coordination/dedup"

// The messages about repeated requests carry the types of the coordination layer
// unchanged.
type (
	// Claim asks the first-ranked box of a key whether a request may run.
	Claim struct{ Body dedup.Claim }
	// Reply answers a claim.
	Reply struct{ Body dedup.Reply }
	// Copy sends a record to the second-ranked box of its key.
	Copy struct{ Body dedup.Copy }
	// Copied answers a copy with what the second-ranked box had.
	Copied struct{ Body dedup.Copied }
	// Join asks the owner of a request for its answer.
	Join struct{ Body dedup.Join }
	// Piece carries a part of an answer to a box that joined its request.
	Piece struct{ Body dedup.Piece }
)

// Kind returns KindClaim.
func (*Claim) Kind() Kind { return KindClaim }

// Kind returns KindReply.
func (*Reply) Kind() Kind { return KindReply }

// Kind returns KindCopy.
func (*Copy) Kind() Kind { return KindCopy }

// Kind returns KindCopied.
func (*Copied) Kind() Kind { return KindCopied }

// Kind returns KindJoin.
func (*Join) Kind() Kind { return KindJoin }

// Kind returns KindPiece.
func (*Piece) Kind() Kind { return KindPiece }
