package org.lovageladder.daemon

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.lovageladder.platform.PlatformRequestParser
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The log of a forwarding entry that runs as a process of its own, with the flags of a deployment. */
class ForwardLogTest {
    private val processes = ArrayList<Process>()
    private val client = HttpClient.newHttpClient()

    @AfterTest
    fun endProcesses() = processes.forEach {
        it.destroyForcibly()
        it.waitFor(10, TimeUnit.SECONDS)
    }

    /** Guards against a log whose level and format are not those of the flags, since a class logged before them. */
    @Test
    fun logHasTheLevelAndFormatOfTheFlags() {
        data class Case(val flags: List<String>, val levels: Set<String>)
        listOf(
            Case(listOf("--log-format", "json"), setOf("INFO", "WARN", "ERROR")),
            Case(listOf("--log-format", "json", "--log-level", "warning"), setOf("WARN", "ERROR")),
        ).forEach { case ->
            val entry = Entry(case.flags)
            repeat(5) { assertEquals(503, entry.send()) }
            entry.process.toHandle().destroy()
            val lines = entry.process.inputReader().readLines()
            assertTrue(lines.isNotEmpty(), "$case")
            val levels = lines.map { Json.parseToJsonElement(it).jsonObject.getValue("level").jsonPrimitive.content }
            assertEquals(emptySet(), levels.toSet() - case.levels, "$case")
        }
    }

    /** Guards against an entry that stands still while nobody reads its log. */
    @Test
    fun requestsAreAnsweredWhileTheLogIsNotRead() {
        val entry = Entry(listOf("--log-format", "json"))
        val answers = List(REQUESTS) { entry.send() }
        assertEquals(setOf(503), answers.toSet())
    }

    @Test
    fun linesThatNobodyReadsAreDroppedAndCounted() {
        val reader = CountDownLatch(1)
        val written = ByteArrayOutputStream()
        val output = object : OutputStream() {
            override fun write(byte: Int) {
                reader.await()
                written.write(byte)
            }
        }
        val queue = LineQueue(output, maximumBytes = 1_000) { "dropped $it" }
        repeat(LINES) { queue.offer("line $it") }
        reader.countDown()
        queue.flush()
        queue.offer("last")
        queue.flush()
        val lines = written.toString().lines().dropLast(1)
        val dropped = lines.filter { it.startsWith("dropped ") }.sumOf { it.removePrefix("dropped ").toInt() }
        assertEquals(LINES, dropped + lines.count { it.startsWith("line ") })
        assertTrue(dropped > 0)
        assertContains(lines, "last")
    }

    /** An entry whose store does not answer, so that it refuses each request and logs a line for it. */
    private inner class Entry(flags: List<String>) {
        val process: Process
        private val address: String

        init {
            val command = listOf(
                java(),
                "-Xmx96m",
                "-cp",
                System.getProperty("java.class.path"),
                "org.lovageladder.daemon.MainKt",
                "forward",
            )
            val names = listOf("--name", "a", "--host", "h", "--place", "p", "--store", "127.0.0.1:1")
            val addresses = listOf("--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0", "--drain-timeout", "0s")
            process = ProcessBuilder(command + names + addresses + flags).redirectErrorStream(true).start()
            processes += process
            val reader = process.inputReader()
            address = generateSequence { reader.readLine() }.firstNotNullOf { LISTENING.find(it)?.groupValues?.get(1) }
        }

        private fun java() = ProcessHandle.current().info().command().get()

        /** Sends a request and returns the status of its answer. */
        fun send(): Int {
            val uri = URI("http://$address/${"x".repeat(PATH_CHARACTERS)}")
            val request = HttpRequest.newBuilder(uri).header(PlatformRequestParser.IDENTIFIER_HEADER, "1").build()
            return client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .get(5, TimeUnit.SECONDS).statusCode()
        }
    }

    private companion object {
        val LISTENING = Regex("listening forward callers=(\\S+)")
        const val LINES = 1_000
        const val PATH_CHARACTERS = 500

        /** Their lines fill a pipe and all buffers before it many times over. */
        const val REQUESTS = 1_500
    }
}
