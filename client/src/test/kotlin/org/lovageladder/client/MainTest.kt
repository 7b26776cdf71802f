package org.lovageladder.client

import org.lovageladder.standin.KeyValueStandIn
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.io.path.createTempDirectory
import kotlin.io.path.writeText
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

class MainTest {
    private val directory: Path = createTempDirectory("lovageladder-client")
    private val service = KeyValueStandIn.start()
    private val store = "127.0.0.1:${service.port}"
    private val closed = "127.0.0.1:${ServerSocket(0).use { it.localPort }}"

    @AfterTest
    fun close() {
        service.close()
        directory.toFile().deleteRecursively()
    }

    private data class Case(val exitCode: ExitCode, val arguments: List<String>) {
        constructor(exitCode: ExitCode, vararg arguments: String) : this(exitCode, arguments.toList())
    }

    private fun check(cases: List<Case>) {
        for (case in cases) assertEquals(case.exitCode, runClient(case.arguments), case.arguments.toString())
    }

    private fun file(name: String, text: String): String {
        val path = directory.resolve(name)
        path.writeText(text)
        return path.toString()
    }

    @Test
    fun badInputExitsWithTwo() {
        val malformed = file("malformed.json", "{")
        val wrong = file("wrong.json", """{"id": "a", "withdrawn": [{"kind": "pool", "name": "absent"}]}""")
        check(
            listOf(
                Case(ExitCode.BAD_INPUT),
                Case(ExitCode.BAD_INPUT, "note"),
                Case(ExitCode.BAD_INPUT, "melt"),
                Case(ExitCode.BAD_INPUT, "status", "--melt"),
                Case(ExitCode.BAD_INPUT, "status"),
                Case(ExitCode.BAD_INPUT, "status", "--store", "localhost"),
                Case(ExitCode.BAD_INPUT, "status", "--process", "127.0.0.1:65536"),
                Case(ExitCode.BAD_INPUT, "status", "--process", "127.0.0.256:80"),
                Case(ExitCode.BAD_INPUT, "status", "--store", store, "--store-timeout", "soon"),
                Case(ExitCode.BAD_INPUT, "timeline", "--store", store, "--since", "yesterday"),
                Case(ExitCode.BAD_INPUT, "timeline", "--store", store, "--limit", "0"),
                Case(ExitCode.BAD_INPUT, "note", "check", directory.resolve("absent.json").toString()),
                Case(ExitCode.BAD_INPUT, "note", "check", malformed),
                Case(ExitCode.BAD_INPUT, "note", "check", wrong),
                Case(ExitCode.BAD_INPUT, "note", "publish", "--store", store, wrong),
                Case(ExitCode.BAD_INPUT, "drain", "--store", store, "absent"),
                Case(ExitCode.BAD_INPUT, "note", "show", "--store", store, "0"),
            ),
        )
    }

    @Test
    fun eachResultHasItsExitCode() {
        val first = file("first.json", """{"id": "a", "added": [{"type": "pool", "name": "p", "role": "plain"}]}""")
        val second = file("second.json", """{"id": "b", "added": [{"type": "pool", "name": "q", "role": "plain"}]}""")
        check(
            listOf(
                Case(ExitCode.DONE, "--help"),
                Case(ExitCode.DONE, "completion", "bash"),
                Case(ExitCode.DONE, "note", "check", first),
                Case(ExitCode.FAILED, "note", "show", "--store", store),
                Case(ExitCode.FAILED, "upstreams", "--store", store),
                Case(ExitCode.DONE, "note", "publish", "--store", store, first),
                Case(ExitCode.DONE, "note", "publish", "--store", store, "--json", first),
                Case(ExitCode.CONFLICT, "note", "publish", "--store", store, second),
                Case(ExitCode.CONFLICT, "note", "check", "--store", store, second),
                Case(ExitCode.DONE, "note", "show", "--store", store, "--in-force"),
                Case(ExitCode.BAD_INPUT, "note", "show", "--store", store, "2"),
                Case(ExitCode.DONE, "note", "history", "--store", store),
                Case(ExitCode.UNREACHABLE, "note", "history", "--store", closed),
                Case(ExitCode.UNREACHABLE, "note", "publish", "--store", closed, first),
                Case(ExitCode.UNREACHABLE, "status", "--process", closed),
                Case(ExitCode.UNREACHABLE, "drain", closed),
                Case(ExitCode.UNREACHABLE, "explain", "--process", closed, "r-1"),
            ),
        )
    }
}
