package core

import (
	"waxwingwall/core/claim"
	"waxwingwall/core/config"
	"waxwingwall/core/escrow"
	"waxwingwall/core/limit"
	"waxwingwall/core/member"
	"waxwingwall/core/sched"
)

// Messages returns one value of each message type, for registration with the codec
// between nodes.
func Messages() []any {
	all := []any{
		LeavingEndpoints{},
		claim.Append{},
		claim.Ack{},
		claim.Nack{},
		claim.Give{},
		claim.Moved{},
		claim.Taken{},
		claim.Ended{},
		claim.EndedAck{},
		claim.Late{},
		claim.LateAck{},
		config.Announce{},
		config.Want{},
		config.Have{},
		sched.Demand{},
	}
	all = append(all, escrow.Messages()...)
	all = append(all, limit.Messages()...)
	return append(all, member.Messages()...)
}
