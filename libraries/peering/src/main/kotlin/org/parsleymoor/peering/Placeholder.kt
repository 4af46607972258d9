package org.parsleymoor.peering

internal object Placeholder
