package org.lovageladder.standin

import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MainTest {
    @Test
    fun everyStandInSaysItsAddressAndEndsCleanlyOnAStopSignal() {
        for (name in listOf("engine", "plain", "kv", "host-list", "weights")) {
            val process = launch(name, "--port", "0")
            val ready = process.inputReader().readLine()
            assertTrue(ready.startsWith("ready $name 127.0.0.1:"), ready)
            assertEquals(200, TestClient(ready.substringAfterLast(":").toInt()).get("/health").statusCode())
            process.destroy()
            assertTrue(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS))
            assertEquals(0, process.exitValue(), name)
        }
    }

    @Test
    fun wrongFlagsAreNamedWithTheirValueAndWhatIsAllowed() {
        val rows =
            listOf(
                FlagRow(2, listOf("--role", "cook", "prefill, decode, both"), "engine", "--role", "cook"),
                FlagRow(2, listOf("--pieces", "0", "minimum", "1"), "engine", "--pieces", "0"),
                FlagRow(2, listOf("--latency-ms", "soon", "integer"), "plain", "--latency-ms", "soon"),
                FlagRow(2, listOf("--port", "70000", "65535"), "kv", "--port", "70000"),
                FlagRow(2, listOf("--host", "x", "NAME,PLACE,IP:PORT"), "host-list", "--host", "x"),
                FlagRow(2, listOf("--nope"), "weights", "--nope"),
                FlagRow(2, listOf("cook"), "cook"),
            )
        for (row in rows) {
            val process = launch(*row.arguments)
            val errors = process.errorReader().readText()
            assertEquals(row.status, process.waitFor(), errors)
            row.named.forEach { assertTrue(it in errors, "$it in $errors") }
        }
    }

    @Test
    fun flagsAreTakenFromTheEnvironmentToo() {
        val builder = builder("host-list")
        builder.environment()["LOVAGELADDER_STAND_IN_HOST_LIST_LAG_MS"] = "soon"
        val process = builder.start()
        val errors = process.errorReader().readText()
        assertEquals(2, process.waitFor(), errors)
        assertTrue("soon" in errors, errors)
    }

    @Test
    fun aTakenPortIsNamed() {
        KeyValueStandIn.start().use { taken ->
            val process = launch("plain", "--port", taken.port.toString())
            val errors = process.errorReader().readText()
            assertEquals(1, process.waitFor(), errors)
            assertTrue("--port ${taken.port}" in errors, errors)
        }
    }

    private fun launch(vararg arguments: String): Process = builder(*arguments).start()

    private fun builder(vararg arguments: String): ProcessBuilder {
        val java = System.getProperty("java.home") + "/bin/java"
        val classPath = System.getProperty("java.class.path")
        return ProcessBuilder(java, "-Xmx64m", "-cp", classPath, "org.lovageladder.standin.MainKt", *arguments)
    }

    private class FlagRow(val status: Int, val named: List<String>, vararg val arguments: String)

    private companion object {
        const val LIMIT_SECONDS = 20L
    }
}
