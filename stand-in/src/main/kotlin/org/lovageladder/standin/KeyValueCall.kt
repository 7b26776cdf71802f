package org.lovageladder.standin

/** The kinds of call that the key-value service takes, with their paths and whether they write. */
internal enum class KeyValueCall(val paths: List<String>, val writes: Boolean) {
    RANGE(listOf("/v3/kv/range"), writes = false),
    PUT(listOf("/v3/kv/put"), writes = true),
    DELETE_RANGE(listOf("/v3/kv/deleterange"), writes = true),
    TXN(listOf("/v3/kv/txn"), writes = true),
    LEASE_GRANT(listOf("/v3/lease/grant"), writes = true),
    LEASE_REVOKE(listOf("/v3/lease/revoke", "/v3/kv/lease/revoke"), writes = true),
    LEASE_KEEP_ALIVE(listOf("/v3/lease/keepalive"), writes = false),
    LEASE_TIME_TO_LIVE(listOf("/v3/lease/timetolive", "/v3/kv/lease/timetolive"), writes = false),
    WATCH(listOf("/v3/watch"), writes = false),
    ;

    companion object {
        fun at(path: String): KeyValueCall? = entries.find { path in it.paths }
    }
}
