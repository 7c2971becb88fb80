import { payloadOf, type DriverPacket } from '../driverConnection';
import { HEADER_BYTES } from '../protocol/constants';
import { toFrames } from '../protocol/frames';

const LENGTH_BYTES = 3;

/** Gathers the frames of packets that pass through, joined where they lie side by side. @internal */
export interface FrameCollector {
  add: (packet: DriverPacket) => void;
  /** Gives the frames since the last call. */
  take: () => Buffer[];
}

/**
 * Creates a collector.
 *
 * Packets that the parser found in one chunk of the socket are passed on as one slice of it, so the
 * cost of a row is that of finding its end, whatever it holds.
 *
 * @internal
 */
export function createFrameCollector(): FrameCollector {
  let frames: Buffer[] = [];
  let chunk: Buffer | undefined;
  let start = 0;
  let end = 0;

  const closeSlice = (): void => {
    if (chunk) frames.push(chunk.subarray(start, end));
    chunk = undefined;
  };

  return {
    add: (packet) => {
      if (packet.numPackets > 1) {
        closeSlice();
        // The parser joined a packet of several frames and left their headers out.
        frames.push(toFrames(payloadOf(packet), packet.sequenceId));
        return;
      }
      if (packet.buffer !== chunk || packet.start !== end) {
        closeSlice();
        restoreLength(packet);
        chunk = packet.buffer;
        start = packet.start;
      }
      end = packet.end;
    },
    take: () => {
      closeSlice();
      const taken = frames;
      frames = [];
      return taken;
    },
  };
}

/**
 * Guards against a frame whose length is whatever the memory held before: the parser puts a packet that
 * came in two chunks together without the first three bytes of its header. It shows as rows that go
 * missing at the caller. Such a packet stands at the start of a buffer of its own.
 */
function restoreLength({ buffer, start, end }: DriverPacket): void {
  if (start === 0) buffer.writeUIntLE(end - HEADER_BYTES, 0, LENGTH_BYTES);
}
