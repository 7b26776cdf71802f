package org.lovageladder.standin

/** Flags of a [KeyValueStandIn]. */
internal class KeyValueCommand : ServerCommand("kv", "The key-value service, in etcd v3's JSON mapping.") {
    override fun start(port: Int): RunningStandIn {
        val keyValue = KeyValueStandIn.start(port)
        return RunningStandIn(keyValue, keyValue.port)
    }
}
