package org.wasabicart.experiment.harness;

import java.util.List;

/**
 * Flags of the JVMs that experiments start.
 */
public final class JvmFlags {

	/** Flags that keep the resident memory of a node below 256 MB. */
	public static final List<String> NODE = List.of("-Xmx96m", "-Xss256k", "-XX:+UseSerialGC",
			"-XX:ReservedCodeCacheSize=48m", "-XX:MaxDirectMemorySize=32m", "-XX:TieredStopAtLevel=1");

	/** Flags of the stand-ins. */
	public static final List<String> STANDIN = List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

	private JvmFlags() {
	}

}
