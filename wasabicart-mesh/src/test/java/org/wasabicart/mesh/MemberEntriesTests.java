package org.wasabicart.mesh;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

import com.google.protobuf.InvalidProtocolBufferException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.wasabicart.core.mesh.BackendIncarnation;
import org.wasabicart.core.mesh.MeshMember;
import org.wasabicart.core.mesh.ServerState;
import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.model.RegionName;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.wire.generated.mesh.MeshMemberEntry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

/**
 * Guards against entries of other writers that end the thread that reads them, or name a
 * server that cannot be used.
 */
class MemberEntriesTests {

	private static final int NESTING = 60_000;

	private static final MeshMember MEMBER = new MeshMember(new NodeId("n1"), new NodeAddress("127.0.0.1", 7400),
			new FailureDomain("d"), new RegionName("r"), new ServiceName("a"), new BackendIncarnation("i-1", 1), 20,
			ServerState.READY);

	static List<byte[]> unreadableValues() {
		MeshMemberEntry entry = MemberEntries.toEntry(MEMBER);
		return Stream
			.of(nested('['), nested('{'), "{\"port\":99999999999}".getBytes(StandardCharsets.UTF_8), new byte[0],
					new byte[] { (byte) 0x80 }, Arrays.copyOf(entry.toByteArray(), entry.getSerializedSize() - 1),
					entry.toBuilder().setPort(0).build().toByteArray(),
					entry.toBuilder().setPort(-1).build().toByteArray(),
					entry.toBuilder().setPort(65_536).build().toByteArray(),
					entry.toBuilder().setSlots(0).build().toByteArray(),
					entry.toBuilder().setSlots(-1).build().toByteArray(),
					entry.toBuilder().setSlots(Integer.MAX_VALUE).build().toByteArray(),
					entry.toBuilder().setBorn(-1).build().toByteArray(),
					entry.toBuilder().setBorn(Long.MAX_VALUE).build().toByteArray(),
					entry.toBuilder().setHost("server.invalid").build().toByteArray(),
					entry.toBuilder().setHost("300.0.0.1").build().toByteArray(),
					entry.toBuilder().setInstance("").build().toByteArray(),
					entry.toBuilder().setInstance("i".repeat(100_000)).build().toByteArray(),
					entry.toBuilder().setNode("n".repeat(65)).build().toByteArray(),
					entry.toBuilder().setNode("n2").build().toByteArray(),
					entry.toBuilder().setService("").build().toByteArray())
			.toList();
	}

	// Both characters are tags of groups in the encoding of an entry.
	private static byte[] nested(char bracket) {
		return String.valueOf(bracket).repeat(NESTING).getBytes(StandardCharsets.UTF_8);
	}

	@ParameterizedTest
	@MethodSource("unreadableValues")
	void unreadableValueIsRejected(byte[] value) {
		assertThat(catchThrowable(() -> MemberEntries.toMember("n1", value)))
			.isInstanceOfAny(InvalidProtocolBufferException.class, IllegalArgumentException.class)
			.satisfies((failure) -> assertThat(failure.getMessage()).hasSizeLessThan(300));
	}

	@Test
	void entryIsReadAsItWasWritten() throws Exception {
		assertThat(MemberEntries.toMember("n1", MemberEntries.toEntry(MEMBER).toByteArray())).isEqualTo(MEMBER);
	}

}
