import { getPayload, type DriverPacket } from '../driverConnection';
import { HEADER_BYTES } from '../protocol/constants';
import { toFrames } from '../protocol/frames';

const LENGTH_BYTES = 3;

/** Collects the frames to forward; adjacent frames are joined. @internal */
export interface FrameCollector {
  add: (packet: DriverPacket) => void;
  /** Returns and removes the collected frames. */
  take: () => Buffer[];
}

/**
 * Creates a frame collector.
 *
 * Adjacent packets in one chunk of the socket are forwarded as one slice, without copying rows.
 *
 * @internal
 */
export function createFrameCollector(): FrameCollector {
  let frames: Buffer[] = [];
  let chunk: Buffer | undefined;
  let start = 0;
  let end = 0;

  const endSlice = (): void => {
    if (chunk) frames.push(chunk.subarray(start, end));
    chunk = undefined;
  };

  return {
    add: (packet) => {
      if (packet.numPackets > 1) {
        endSlice();
        // The parser joins the payloads of several frames and drops their headers.
        frames.push(toFrames(getPayload(packet), packet.sequenceId));
        return;
      }
      if (packet.buffer !== chunk || packet.start !== end) {
        endSlice();
        restoreFrameLength(packet);
        chunk = packet.buffer;
        start = packet.start;
      }
      end = packet.end;
    },
    take: () => {
      endSlice();
      const taken = frames;
      frames = [];
      return taken;
    },
  };
}

/**
 * Writes the payload length into the header of a packet at the start of its buffer.
 *
 * The parser copies a packet that spans several chunks into a new buffer and leaves the length
 * there uninitialized, so callers would lose rows. For other packets the write changes nothing.
 */
function restoreFrameLength({ buffer, start, end }: DriverPacket): void {
  if (start === 0) buffer.writeUIntLE(end - HEADER_BYTES, 0, LENGTH_BYTES);
}
