package org.lovageladder.client

import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.unwrap
import org.lovageladder.core.AcceptedNote
import org.lovageladder.core.ReleaseState
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class ExamplesTest {
    private val root = Path.of("..")

    @Test
    fun theExampleNotesCanBePublishedInOrder() {
        val state = listOf("first-note.json", "second-note.json").fold(ReleaseState.EMPTY) { state, name ->
            val document = parseDocument(name, root.resolve("examples/$name").readText())
                .andThen { checkContent(it, state) }
                .unwrap()
            state.apply(AcceptedNote(state.version.next(), document.note)).unwrap()
        }
        assertEquals(2, state.version.number)
    }

    @Test
    fun theReadmeShowsTheSecondExample() {
        val example = root.resolve("examples/second-note.json").readText()
        assertContains(root.resolve("README.md").readText(), example)
    }
}
