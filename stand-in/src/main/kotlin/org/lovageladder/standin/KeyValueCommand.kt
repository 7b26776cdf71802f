package org.lovageladder.standin

/** The `kv` subcommand, which runs a [KeyValueStandIn]. */
internal class KeyValueCommand : ServerCommand("kv", "The key-value service, in etcd v3's JSON mapping.") {
    private val defaults = KeyValueSettings()
    private val writesPerSecond by
        nonNegativeIntOption(
            "--writes-per-second",
            "Write rate limit; excess writes wait. 0 is unlimited.",
            defaults.writesPerSecond,
        )
    private val readsPerSecond by
        nonNegativeIntOption(
            "--reads-per-second",
            "Read rate limit; excess reads wait. 0 is unlimited.",
            defaults.readsPerSecond,
        )

    override fun start(port: Int): RunningStandIn {
        val keyValue = KeyValueStandIn.start(port, KeyValueSettings(writesPerSecond, readsPerSecond))
        return RunningStandIn(keyValue, keyValue.port)
    }
}
