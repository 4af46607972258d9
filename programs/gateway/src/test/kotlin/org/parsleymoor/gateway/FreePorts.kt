package org.parsleymoor.gateway

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Returns [count] ports on which nothing listens, from below the range for outgoing connections: a port of that range
 * may be taken by a connection of the same test before the gateway binds it.
 */
internal fun freePorts(count: Int): List<Int> =
    generateSequence { Random.nextInt(LOWEST_PORT, HIGHEST_PORT) }.distinct().filter { isFree(it) }.take(count).toList()

private fun isFree(port: Int): Boolean = try {
    ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
    true
} catch (_: IOException) {
    false
}

private const val LOWEST_PORT = 10_000
private const val HIGHEST_PORT = 32_768
