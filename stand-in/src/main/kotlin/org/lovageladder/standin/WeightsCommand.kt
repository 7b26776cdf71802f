package org.lovageladder.standin

/** The `weights` subcommand, which runs a [WeightStoreStandIn]. */
internal class WeightsCommand : ServerCommand("weights", "The rate-limited weight store.") {
    private val rate by positiveLongOption(
        "--bytes-per-second",
        "Total rate, shared by all callers.",
        WeightStoreSettings().bytesPerSecond,
    )

    override fun start(port: Int): RunningStandIn {
        val weights = WeightStoreStandIn.start(port, WeightStoreSettings(rate))
        return RunningStandIn(weights, weights.port)
    }
}
