package org.lovageladder.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Load of an engine at one moment; [memoryUsage] is the held share of the pieces, from 0 to 1. */
internal data class EngineLoad(val running: Int, val waiting: Int, val memoryUsage: Double)

/** Reports an engine's load as it was [lag] ago, and an idle engine until [lag] has passed since the start. */
internal class LoadReport(
    private val thread: EventLoopThread,
    private val lag: Duration,
    private val currentLoad: () -> EngineLoad,
) {
    private val samples = ArrayDeque<LoadSample>()

    init {
        if (lag.isPositive()) {
            thread.scheduleEvery(SAMPLE_INTERVAL) { sample() }
        }
    }

    /** The load in the Prometheus text format, under vLLM's metric names. */
    fun prometheusText(model: String): String {
        val load = reportedLoad()
        val labels = """{model_name="$model"}"""
        return buildString {
            gauge("vllm:num_requests_running", "Number of requests in model execution batches.", labels, load.running)
            gauge("vllm:num_requests_waiting", "Number of requests waiting to be processed.", labels, load.waiting)
            gauge("vllm:gpu_cache_usage_perc", "KV-cache usage. 1 means 100 percent.", labels, load.memoryUsage)
        }
    }

    private fun reportedLoad(): EngineLoad {
        if (!lag.isPositive()) {
            return currentLoad()
        }
        val latestReportedAt = thread.now() - lag
        return samples.lastOrNull { it.takenAt <= latestReportedAt }?.load ?: IDLE_LOAD
    }

    private fun sample() {
        val now = thread.now()
        samples.addLast(LoadSample(now, currentLoad()))
        while (samples.size > 1 && samples[1].takenAt <= now - lag) {
            samples.removeFirst()
        }
    }

    private fun StringBuilder.gauge(name: String, description: String, labels: String, value: Number) {
        appendLine("# HELP $name $description")
        appendLine("# TYPE $name gauge")
        appendLine("$name$labels ${value.toDouble()}")
    }

    private data class LoadSample(val takenAt: Duration, val load: EngineLoad)

    private companion object {
        val SAMPLE_INTERVAL = 20.milliseconds
        val IDLE_LOAD = EngineLoad(running = 0, waiting = 0, memoryUsage = 0.0)
    }
}
