package org.parsleymoor.standins

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Ports that were free when asked for, none given out twice. They lie below the range from which systems take the ports
 * of outgoing connections: such a connection can take a port between the choice and the start of the process.
 */
public class FreePorts(private val random: Random = Random.Default) {
    private val given = HashSet<Int>()

    /** Returns a port on which nothing listens. */
    public fun next(): Int =
        generateSequence { random.nextInt(RANGE.first, RANGE.last) }.first { isFree(it) && given.add(it) }

    /** Returns [count] ports on which nothing listens. */
    public fun take(count: Int): List<Int> = List(count) { next() }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        true
    } catch (_: IOException) {
        false
    }

    private companion object {
        val RANGE = 10_000..32_767
    }
}
