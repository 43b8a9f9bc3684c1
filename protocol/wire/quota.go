package wire

// TypeQuota asks a daemon for units of quotas. Call and reply are quota.Call and
// quota.Reply.
const TypeQuota Type = "quota"

// TypeQuotaStart tells the fleet's first daemon that the sender has started and uses no
// part of a quota. Call and reply are quota.StartCall and quota.StartReply.
const TypeQuotaStart Type = "quota-start"
