package wire

// TypeQuota asks a daemon for units of quotas. Call and reply are quota.Call and
// quota.Reply.
const TypeQuota Type = "quota"
