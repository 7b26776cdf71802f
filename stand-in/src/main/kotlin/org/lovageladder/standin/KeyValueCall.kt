package org.lovageladder.standin

/** The calls of the key-value service, with their paths and whether each counts as a write. */
internal enum class KeyValueCall(val paths: List<String>, val isWrite: Boolean) {
    RANGE(listOf("/v3/kv/range"), isWrite = false),
    PUT(listOf("/v3/kv/put"), isWrite = true),
    DELETE_RANGE(listOf("/v3/kv/deleterange"), isWrite = true),
    TXN(listOf("/v3/kv/txn"), isWrite = true),
    LEASE_GRANT(listOf("/v3/lease/grant"), isWrite = true),
    LEASE_REVOKE(listOf("/v3/lease/revoke", "/v3/kv/lease/revoke"), isWrite = true),
    LEASE_KEEP_ALIVE(listOf("/v3/lease/keepalive"), isWrite = false),
    LEASE_TIME_TO_LIVE(listOf("/v3/lease/timetolive", "/v3/kv/lease/timetolive"), isWrite = false),
    WATCH(listOf("/v3/watch"), isWrite = false),
    ;

    companion object {
        fun forPath(path: String): KeyValueCall? = entries.find { path in it.paths }
    }
}
