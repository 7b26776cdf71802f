package org.lovageladder.client

import org.lovageladder.core.EventKind
import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.test.Test
import kotlin.test.assertEquals

class EventsPageTest {
    @Test
    fun theEventsPageListsAllEventKindsInOrder() {
        val pageLines = Path.of("..", "docs", "EVENTS.md").readLines()
        val expectedRows = EventKind.entries.map { kind ->
            val name = kind.name.lowercase().replace('_', ' ')
            "| ${kind.code} | $name | ${kind.level} | ${kind.meaning} | ${kind.operatorAction} |"
        }
        assertEquals(expectedRows, pageLines.filter { it.startsWith("| LL-") })
    }
}
