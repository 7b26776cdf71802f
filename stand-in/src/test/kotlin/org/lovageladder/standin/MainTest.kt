package org.lovageladder.standin

import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MainTest {
    @Test
    fun eachStandInPrintsItsAddressAndExitsCleanlyOnSigterm() {
        for (name in listOf("engine", "plain", "kv", "host-list", "weights")) {
            val process = launch(name, "--port", "0")
            val ready = process.inputReader().readLine()
            assertTrue(ready.startsWith("ready $name 127.0.0.1:"), ready)
            assertEquals(200, TestClient(ready.substringAfterLast(":").toInt()).get("/health").statusCode())
            process.destroy()
            assertTrue(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS))
            assertEquals(0, process.exitValue(), name)
        }
    }

    @Test
    fun usageErrorsNameTheFlagItsValueAndTheAllowedValues() {
        val cases = listOf(
            UsageErrorCase(2, listOf("--role", "cook", "prefill, decode, both"), "engine", "--role", "cook"),
            UsageErrorCase(2, listOf("--pieces", "0", "minimum", "1"), "engine", "--pieces", "0"),
            UsageErrorCase(2, listOf("--latency-ms", "soon", "integer"), "plain", "--latency-ms", "soon"),
            UsageErrorCase(2, listOf("--port", "70000", "65535"), "kv", "--port", "70000"),
            UsageErrorCase(2, listOf("--host", "x", "NAME,PLACE,IP:PORT"), "host-list", "--host", "x"),
            UsageErrorCase(2, listOf("--nope"), "weights", "--nope"),
            UsageErrorCase(2, listOf("cook"), "cook"),
        )
        for (case in cases) {
            val process = launch(*case.arguments)
            val errors = process.errorReader().readText()
            assertEquals(case.status, process.waitFor(), errors)
            case.expectedTexts.forEach { assertTrue(it in errors, "$it in $errors") }
        }
    }

    @Test
    fun flagsAreReadFromEnvironmentVariables() {
        val builder = processBuilder("host-list")
        builder.environment()["LOVAGELADDER_STAND_IN_HOST_LIST_LAG_MS"] = "soon"
        val process = builder.start()
        val errors = process.errorReader().readText()
        assertEquals(2, process.waitFor(), errors)
        assertTrue("soon" in errors, errors)
    }

    @Test
    fun portInUseIsNamedInTheError() {
        KeyValueStandIn.start().use { portOwner ->
            val process = launch("plain", "--port", portOwner.port.toString())
            val errors = process.errorReader().readText()
            assertEquals(1, process.waitFor(), errors)
            assertTrue("--port ${portOwner.port}" in errors, errors)
        }
    }

    private fun launch(vararg arguments: String): Process = processBuilder(*arguments).start()

    private fun processBuilder(vararg arguments: String): ProcessBuilder {
        val java = System.getProperty("java.home") + "/bin/java"
        val classPath = System.getProperty("java.class.path")
        return ProcessBuilder(java, "-Xmx64m", "-cp", classPath, "org.lovageladder.standin.MainKt", *arguments)
    }

    private class UsageErrorCase(val status: Int, val expectedTexts: List<String>, vararg val arguments: String)

    private companion object {
        const val EXIT_TIMEOUT_SECONDS = 20L
    }
}
