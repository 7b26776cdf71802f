package org.lovageladder.standin

/** Flags of a [WeightStoreStandIn]. */
internal class WeightsCommand : ServerCommand("weights", "The rate-limited weight store.") {
    private val rate by positiveLong(
        "--bytes-per-second",
        "Rate shared by all callers.",
        WeightStoreSettings().bytesPerSecond,
    )

    override fun start(port: Int): RunningStandIn {
        val weights = WeightStoreStandIn.start(port, WeightStoreSettings(rate))
        return RunningStandIn(weights, weights.port)
    }
}
