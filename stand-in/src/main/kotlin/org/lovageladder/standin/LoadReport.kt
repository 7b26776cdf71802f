package org.lovageladder.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Load of an engine at one moment. */
internal data class EngineLoad(val running: Int, val waiting: Int, val memoryShare: Double)

/** Reports an engine's load as it was [lag] ago; an idle engine before that. */
internal class LoadReport(
    private val thread: EventLoopThread,
    private val lag: Duration,
    private val currentLoad: () -> EngineLoad,
) {
    private val samples = ArrayDeque<LoadSample>()

    init {
        if (lag.isPositive()) {
            thread.every(SAMPLE_PERIOD) { sample() }
        }
    }

    /** The load as Prometheus text with the names that vLLM publishes. */
    fun prometheusText(model: String): String {
        val load = reportedLoad()
        val labels = """{model_name="$model"}"""
        return buildString {
            gauge("vllm:num_requests_running", "Number of requests in model execution batches.", labels, load.running)
            gauge("vllm:num_requests_waiting", "Number of requests waiting to be processed.", labels, load.waiting)
            gauge("vllm:gpu_cache_usage_perc", "KV-cache usage. 1 means 100 percent.", labels, load.memoryShare)
        }
    }

    private fun reportedLoad(): EngineLoad {
        if (!lag.isPositive()) {
            return currentLoad()
        }
        val newestTime = thread.now() - lag
        return samples.lastOrNull { it.time <= newestTime }?.load ?: IDLE
    }

    private fun sample() {
        val now = thread.now()
        samples.addLast(LoadSample(now, currentLoad()))
        while (samples.size > 1 && samples[1].time <= now - lag) {
            samples.removeFirst()
        }
    }

    private fun StringBuilder.gauge(name: String, description: String, labels: String, value: Number) {
        appendLine("# HELP $name $description")
        appendLine("# TYPE $name gauge")
        appendLine("$name$labels ${value.toDouble()}")
    }

    private data class LoadSample(val time: Duration, val load: EngineLoad)

    private companion object {
        val SAMPLE_PERIOD = 20.milliseconds
        val IDLE = EngineLoad(running = 0, waiting = 0, memoryShare = 0.0)
    }
}
