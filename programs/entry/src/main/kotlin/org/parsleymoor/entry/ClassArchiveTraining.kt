package org.parsleymoor.entry

import com.github.michaelbull.result.getOrElse
import org.parsleymoor.entry.protocol.ServingProtocol
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.jar.JarFile
import kotlin.concurrent.thread

/**
 * Starts an entry daemon on loopback and loads the classes that it uses, so that a virtual machine started with
 * `-XX:ArchiveClassesAtExit` writes them to a class data archive. A daemon that restarts after a crash serves requests
 * in half the time with the archive. Throws [IllegalStateException] when the daemon's settings are rejected.
 */
public fun trainClassArchive(protocol: ServingProtocol) {
    val store = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    thread(isDaemon = true) { while (true) respond(store.accept()) }
    val listen = List(LISTEN_ADDRESS_COUNT) { freeAddress() }
    val settings = EntrySettings.parse("training", settingsText(listen, "127.0.0.1:${store.localPort}"))
        .getOrElse { mistakes -> error(mistakes.list.joinToString()) }
    EntryDaemon(settings, protocol).start()
    sendRequest(settings)
    loadProjectClasses()
    Thread.sleep(SETTLE_MILLIS)
}

/** Responds to every request with an empty JSON object, which exercises the clients and the decoders. */
private fun respond(socket: Socket) {
    thread(isDaemon = true) {
        socket.use {
            val reader = it.getInputStream().bufferedReader()
            while (reader.readLine() != null) {
                if (!reader.ready()) it.getOutputStream().write(EMPTY_RESPONSE)
            }
        }
    }
}

private fun sendRequest(settings: EntrySettings) {
    Socket(settings.listen.callers.host, settings.listen.callers.port).use { socket ->
        socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".toByteArray())
        socket.getInputStream().readAllBytes()
    }
}

private fun loadProjectClasses() {
    val jars = System.getProperty("java.class.path").split(File.pathSeparator).filter { it.endsWith(".jar") }
    jars.flatMap { path -> JarFile(path).use { jar -> jar.entries().asSequence().map { it.name }.toList() } }
        .filter { name -> name.endsWith(".class") && PACKAGES.any { name.startsWith(it) } }
        .forEach { name ->
            val className = name.removeSuffix(".class").replace('/', '.')
            Class.forName(className, false, EntryDaemon::class.java.classLoader)
        }
}

private fun freeAddress(): String =
    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { "127.0.0.1:${it.localPort}" }

private fun settingsText(listen: List<String>, store: String): String = """
    instance = "training"
    zone = "a"
    region = "r"
    [zones]
    "a" = "r"
    [listen]
    callers = "${listen[0]}"
    readiness = "${listen[1]}"
    peers = "${listen[2]}"
    metrics = "${listen[LISTEN_ADDRESS_COUNT - 1]}"
    [objectStore]
    address = "$store"
    [times]
    graceSeconds = 1
    leaseMillis = 1000
    weightsMillis = 1000
    applyMillis = 1000
    [retries]
    share = 0.2
    extra = 1
    windowSeconds = 1
    [cold]
    overage = 1.0
    slack = 1
""".trimIndent()

private val EMPTY_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".toByteArray()
private const val LISTEN_ADDRESS_COUNT = 4
private const val BACKLOG = 50

// Time for the control loops to make their first calls.
private const val SETTLE_MILLIS = 1_500L

// The project's own classes, and the socket classes that only a connection to a second daemon would load.
private val PACKAGES = listOf("org/parsleymoor/", "io/ktor/network/sockets/", "io/ktor/network/selector/")
