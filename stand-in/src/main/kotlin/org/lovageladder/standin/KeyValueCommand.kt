package org.lovageladder.standin

/** Flags of a [KeyValueStandIn]. */
internal class KeyValueCommand : ServerCommand("kv", "The key-value service, in etcd v3's JSON mapping.") {
    private val defaults = KeyValueSettings()
    private val writesPerSecond by
        count("--writes-per-second", "Writes taken; further ones wait. 0 sets no limit.", defaults.writesPerSecond)
    private val readsPerSecond by
        count("--reads-per-second", "Reads taken; further ones wait. 0 sets no limit.", defaults.readsPerSecond)

    override fun start(port: Int): RunningStandIn {
        val keyValue = KeyValueStandIn.start(port, KeyValueSettings(writesPerSecond, readsPerSecond))
        return RunningStandIn(keyValue, keyValue.port)
    }
}
