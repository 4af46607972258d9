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
 * Loads the classes that an entry daemon uses and returns, so that a virtual machine started with
 * `-XX:ArchiveClassesAtExit` writes them to a class data archive. Reading classes from the archive halves the time from
 * the start to listening, in which no request is answered after a crash. Throws [IllegalStateException] when the daemon
 * does not start on loopback.
 */
public fun trainClassArchive(protocol: ServingProtocol) {
    val store = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    thread(isDaemon = true) { while (true) answer(store.accept()) }
    val listen = List(LISTEN_ADDRESSES) { freeAddress() }
    val settings = EntrySettings.parse("training", settingsText(listen, "127.0.0.1:${store.localPort}"))
        .getOrElse { mistakes -> error(mistakes.list.joinToString()) }
    EntryDaemon(settings, protocol).start()
    ask(settings)
    loadProjectClasses()
    Thread.sleep(SETTLE_MILLIS)
}

/** Answers every request with an empty object, which exercises the calls and the decoders. */
private fun answer(socket: Socket) {
    thread(isDaemon = true) {
        socket.use {
            val reader = it.getInputStream().bufferedReader()
            while (reader.readLine() != null) {
                if (!reader.ready()) it.getOutputStream().write(EMPTY_ANSWER)
            }
        }
    }
}

private fun ask(settings: EntrySettings) {
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
    metrics = "${listen[LISTEN_ADDRESSES - 1]}"
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

private val EMPTY_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".toByteArray()
private const val LISTEN_ADDRESSES = 4
private const val BACKLOG = 50

// Lets the loops make their first calls.
private const val SETTLE_MILLIS = 1_500L

// The project's own classes, and the sockets between daemons, which need a second daemon to be used.
private val PACKAGES = listOf("org/parsleymoor/", "io/ktor/network/sockets/", "io/ktor/network/selector/")
