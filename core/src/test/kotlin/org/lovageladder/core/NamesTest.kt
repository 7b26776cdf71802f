package org.lovageladder.core

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.test.Test
import kotlin.test.assertEquals

class NamesTest {
    @Test
    fun printsAsItsText() {
        assertEquals("a", HostName("a").toString())
    }

    @Property(seed = "1", tries = 10)
    fun keepsItsText(@ForAll text: String): Boolean = HostName(text).text == text
}
