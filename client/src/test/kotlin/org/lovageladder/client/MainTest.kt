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
    private val keyValueService = KeyValueStandIn.start()
    private val storeAddress = "127.0.0.1:${keyValueService.port}"
    private val closedAddress = "127.0.0.1:${ServerSocket(0).use { it.localPort }}"

    @AfterTest
    fun close() {
        keyValueService.close()
        directory.toFile().deleteRecursively()
    }

    private data class Case(val exitCode: ExitCode, val arguments: List<String>) {
        constructor(exitCode: ExitCode, vararg arguments: String) : this(exitCode, arguments.toList())
    }

    private fun assertExitCodes(cases: List<Case>) {
        for (case in cases) assertEquals(case.exitCode, runClient(case.arguments), case.arguments.toString())
    }

    private fun writeFile(name: String, text: String): String {
        val path = directory.resolve(name)
        path.writeText(text)
        return path.toString()
    }

    @Test
    fun badInputExitsWithTwo() {
        val malformed = writeFile("malformed.json", "{")
        val invalid = writeFile("invalid.json", """{"id": "a", "withdrawn": [{"kind": "pool", "name": "absent"}]}""")
        assertExitCodes(
            listOf(
                Case(ExitCode.BAD_INPUT),
                Case(ExitCode.BAD_INPUT, "note"),
                Case(ExitCode.BAD_INPUT, "unknown"),
                Case(ExitCode.BAD_INPUT, "status", "--unknown"),
                Case(ExitCode.BAD_INPUT, "status"),
                Case(ExitCode.BAD_INPUT, "status", "--store", "localhost"),
                Case(ExitCode.BAD_INPUT, "status", "--process", "127.0.0.1:65536"),
                Case(ExitCode.BAD_INPUT, "status", "--process", "127.0.0.256:80"),
                Case(ExitCode.BAD_INPUT, "status", "--store", storeAddress, "--store-timeout", "soon"),
                Case(ExitCode.BAD_INPUT, "timeline", "--store", storeAddress, "--since", "yesterday"),
                Case(ExitCode.BAD_INPUT, "timeline", "--store", storeAddress, "--limit", "0"),
                Case(ExitCode.BAD_INPUT, "note", "check", directory.resolve("absent.json").toString()),
                Case(ExitCode.BAD_INPUT, "note", "check", malformed),
                Case(ExitCode.BAD_INPUT, "note", "check", invalid),
                Case(ExitCode.BAD_INPUT, "note", "publish", "--store", storeAddress, invalid),
                Case(ExitCode.BAD_INPUT, "drain", "--store", storeAddress, "absent"),
                Case(ExitCode.BAD_INPUT, "note", "show", "--store", storeAddress, "0"),
            ),
        )
    }

    @Test
    fun eachResultHasItsExitCode() {
        val first =
            writeFile("first.json", """{"id": "a", "added": [{"type": "pool", "name": "p", "role": "plain"}]}""")
        val second =
            writeFile("second.json", """{"id": "b", "added": [{"type": "pool", "name": "q", "role": "plain"}]}""")
        assertExitCodes(
            listOf(
                Case(ExitCode.DONE, "--help"),
                Case(ExitCode.DONE, "completion", "bash"),
                Case(ExitCode.DONE, "note", "check", first),
                Case(ExitCode.FAILED, "note", "show", "--store", storeAddress),
                Case(ExitCode.FAILED, "upstreams", "--store", storeAddress),
                Case(ExitCode.DONE, "note", "publish", "--store", storeAddress, first),
                Case(ExitCode.DONE, "note", "publish", "--store", storeAddress, "--json", first),
                Case(ExitCode.CONFLICT, "note", "publish", "--store", storeAddress, second),
                Case(ExitCode.CONFLICT, "note", "check", "--store", storeAddress, second),
                Case(ExitCode.DONE, "note", "show", "--store", storeAddress, "--in-force"),
                Case(ExitCode.BAD_INPUT, "note", "show", "--store", storeAddress, "2"),
                Case(ExitCode.DONE, "note", "history", "--store", storeAddress),
                Case(ExitCode.UNREACHABLE, "note", "history", "--store", closedAddress),
                Case(ExitCode.UNREACHABLE, "note", "publish", "--store", closedAddress, first),
                Case(ExitCode.UNREACHABLE, "status", "--process", closedAddress),
                Case(ExitCode.UNREACHABLE, "drain", closedAddress),
                Case(ExitCode.UNREACHABLE, "explain", "--process", closedAddress, "r-1"),
            ),
        )
    }
}
