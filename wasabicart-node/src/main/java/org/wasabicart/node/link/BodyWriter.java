package org.wasabicart.node.link;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.channel.Channel;

import org.wasabicart.core.link.ChunkScheduler;
import org.wasabicart.core.link.ChunkSlice;
import org.wasabicart.wire.generated.link.Chunk;
import org.wasabicart.wire.generated.link.Frame;

/**
 * Writes heads and bodies to a link's channel while the channel is writable, one chunk
 * per stream in turn. Confined to the channel's event loop.
 */
final class BodyWriter {

	private final Channel channel;

	private final long epoch;

	private final LongConsumer beforeLastChunk;

	private final ChunkScheduler scheduler;

	private final Map<Long, Message> messages = new HashMap<>();

	private boolean writing;

	/**
	 * Creates a writer.
	 * @param channel channel of the link
	 * @param epoch epoch of the link
	 * @param limits sizes of chunks and windows
	 * @param beforeLastChunk receives the number of a stream just before its last chunk
	 * is written to the channel
	 */
	BodyWriter(Channel channel, long epoch, LinkLimits limits, LongConsumer beforeLastChunk) {
		this.channel = channel;
		this.epoch = epoch;
		this.beforeLastChunk = beforeLastChunk;
		this.scheduler = new ChunkScheduler(limits.chunkBytes(), limits.windowBytes());
	}

	void add(long stream, Frame head, byte[] body) {
		this.messages.put(stream, new Message(head, UnsafeByteOperations.unsafeWrap(body)));
		this.scheduler.add(stream, body.length);
		writePending();
	}

	void grant(long stream, int bytes) {
		this.scheduler.grant(stream, bytes);
		writePending();
	}

	void remove(long stream) {
		this.messages.remove(stream);
		this.scheduler.remove(stream);
	}

	/**
	 * Writes chunks until the channel is not writable or no stream can send. To be called
	 * when the channel becomes writable.
	 */
	void writePending() {
		if (this.writing) {
			return;
		}
		this.writing = true;
		boolean written = false;
		while (this.channel.isWritable() && this.channel.isActive()) {
			Optional<ChunkSlice> slice = this.scheduler.next();
			if (slice.isEmpty()) {
				break;
			}
			write(slice.get());
			written = true;
		}
		this.writing = false;
		if (written) {
			this.channel.flush();
		}
	}

	private void write(ChunkSlice slice) {
		Message message = this.messages.get(slice.stream());
		if (slice.offset() == 0) {
			this.channel.write(message.head());
		}
		if (slice.end()) {
			this.messages.remove(slice.stream());
			this.beforeLastChunk.accept(slice.stream());
		}
		Chunk chunk = Chunk.newBuilder()
			.setEpoch(this.epoch)
			.setStream(slice.stream())
			.setData(message.body().substring(slice.offset(), slice.offset() + slice.length()))
			.setOffset(slice.offset())
			.setEnd(slice.end())
			.build();
		this.channel.write(Frame.newBuilder().setChunk(chunk).build());
	}

	private record Message(Frame head, ByteString body) {

	}

}
