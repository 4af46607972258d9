package org.parsleymoor.entry

import com.github.michaelbull.result.getOrElse
import org.parsleymoor.entry.protocol.ServingProtocol
import java.io.BufferedReader
import java.io.File
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.jar.JarFile
import kotlin.concurrent.thread

/**
 * Runs two entry daemons on loopback in front of [exchange], which is given the address that stands for the store and
 * all endpoints, so that a virtual machine started with `-XX:ArchiveClassesAtExit` writes the classes that they use to
 * a class data archive. A class that is not in it costs processor time when a daemon starts after a loss of power,
 * while callers wait. Throws [IllegalStateException] when the daemons' settings are rejected.
 */
public fun trainClassArchive(protocol: ServingProtocol, exchange: (address: String) -> TrainingExchange) {
    val store = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    val address = "127.0.0.1:${store.localPort}"
    val played = exchange(address)
    thread(isDaemon = true) { while (true) serve(store.accept(), played) }
    val addresses = List(DAEMONS) { List(LISTEN_ADDRESS_COUNT) { freeAddress() } }
    val file = File.createTempFile("training", ".toml")
    val settings = addresses.mapIndexed { number, listen ->
        file.writeText(settingsText("training-$number", listen, addresses.map { it[PEERS] }, address))
        EntrySettings.read(file.toPath()).getOrElse { mistakes -> error(mistakes.list.joinToString()) }
    }
    file.delete()
    settings.forEach { EntryDaemon(it, protocol).start() }
    Thread.sleep(SETTLE_MILLIS)
    var served = 0
    var rounds = 0
    while (served < ENOUGH_SERVED && rounds++ < MOST_ROUNDS) {
        served += settings.sumOf { sendRequests(it, played.requests) }
    }
    // An archive that lacks classes only makes starts slower.
    if (served < ENOUGH_SERVED) System.err.println("only $served requests of the training were served")
    loadProjectClasses()
    Thread.sleep(SETTLE_MILLIS)
}

private fun serve(socket: Socket, exchange: TrainingExchange) {
    thread(isDaemon = true) {
        try {
            socket.use {
                val reader = it.getInputStream().bufferedReader(Charsets.ISO_8859_1)
                do {
                    val head = reader.readHead()
                    val response = head?.let { text -> exchange.respond(text, reader.readBody(text)) }
                    response?.let { text -> it.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1)) }
                } while (response != null && !exchange.closesAfter(response))
            }
        } catch (ignored: IOException) {
            // The daemon has reset the connection.
        }
    }
}

private fun BufferedReader.readHead(): String? {
    val lines = generateSequence { readLine()?.ifEmpty { null } }.toList()
    return lines.joinToString("\n").ifEmpty { null }
}

/** Reads a body with a length, or in chunks whose size lines stay in the text. */
private fun BufferedReader.readBody(head: String): String {
    if ("chunked" in head) return generateSequence { readLine() }.takeWhile { it != "0" }.joinToString("\n")
    val length = head.lineSequence().firstOrNull { it.startsWith("Content-Length:", ignoreCase = true) }
    val characters = CharArray(length?.substringAfter(':')?.trim()?.toInt() ?: 0)
    var count = 0
    while (count < characters.size) count += read(characters, count, characters.size - count).coerceAtLeast(1)
    return String(characters)
}

/** Sends [requests] to a daemon; returns how many were answered with success. */
private fun sendRequests(settings: EntrySettings, requests: List<String>): Int = try {
    Socket(settings.listen.callers.host, settings.listen.callers.port).use { socket ->
        socket.soTimeout = ANSWER_MILLIS
        requests.forEach { request ->
            socket.getOutputStream().write(request.toByteArray(Charsets.ISO_8859_1))
            Thread.sleep(REQUEST_MILLIS)
        }
        socket.shutdownOutput()
        socket.getInputStream().readAllBytes().decodeToString().split("HTTP/1.1 200").size - 1
    }
} catch (ignored: IOException) {
    0
}

private fun loadProjectClasses() {
    val jars = System.getProperty("java.class.path").split(File.pathSeparator).filter { it.endsWith(".jar") }
    jars.flatMap { path -> JarFile(path).use { jar -> jar.entries().asSequence().map { it.name }.toList() } }
        .filter { name -> name.endsWith(".class") && name.startsWith("org/parsleymoor/") }
        .forEach { name ->
            val className = name.removeSuffix(".class").replace('/', '.')
            Class.forName(className, false, EntryDaemon::class.java.classLoader)
        }
}

private fun freeAddress(): String =
    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { "127.0.0.1:${it.localPort}" }

private fun settingsText(instance: String, listen: List<String>, seeds: List<String>, store: String): String = """
    instance = "$instance"
    zone = "a"
    region = "r"
    seeds = [${seeds.joinToString { "\"$it\"" }}]
    [zones]
    "a" = "r"
    [listen]
    callers = "${listen[0]}"
    readiness = "${listen[1]}"
    peers = "${listen[PEERS]}"
    metrics = "${listen[LISTEN_ADDRESS_COUNT - 1]}"
    [objectStore]
    address = "$store"
    [times]
    graceSeconds = 1
    leaseMillis = 1000
    weightsMillis = 10000
    applyMillis = 1000
    heartbeatMillis = 1200
    stableMillis = 4000
    skewMillis = 6000
    [retries]
    share = 0.2
    extra = 10
    windowSeconds = 1
    [cold]
    overage = 1.0
    slack = 1
    [machine]
    share = 0.75
    cores = 1
""".trimIndent()

private const val LISTEN_ADDRESS_COUNT = 4
private const val PEERS = 2
private const val BACKLOG = 50

// Two, so that the connections between instances are used as well.
private const val DAEMONS = 2
private const val ENOUGH_SERVED = 30
private const val MOST_ROUNDS = 12
private const val REQUEST_MILLIS = 30L
private const val ANSWER_MILLIS = 2_000

// Time for the control loops to make their calls, and to find and order engines.
private const val SETTLE_MILLIS = 2_500L
