import { HEADER_BYTES, MAXIMUM_FRAME_PAYLOAD_BYTES } from '../protocol/constants';

/** Checks the packet sizes in a byte stream without buffering packets. @internal */
export interface PacketSizeLimiter {
  /** @returns false if a frame header in the chunk announces a packet above the limit. */
  isWithinLimit: (chunk: Buffer) => boolean;
}

/**
 * Creates the packet size limiter of one connection.
 *
 * The driver buffers a packet until it is complete, so a large one would take its whole size in
 * memory. The limiter checks each frame header before the payload is buffered.
 *
 * @param maximumBytes - largest payload in bytes, summed over the frames of a packet.
 * @internal
 */
export function createPacketSizeLimiter(maximumBytes: () => number): PacketSizeLimiter {
  let headerBytes = 0;
  let frameBytes = 0;
  let remainingPayloadBytes = 0;
  let packetBytes = 0;

  const startFrame = (): boolean => {
    packetBytes += frameBytes;
    remainingPayloadBytes = frameBytes;
    const isAccepted = packetBytes <= maximumBytes();
    if (frameBytes < MAXIMUM_FRAME_PAYLOAD_BYTES) packetBytes = 0;
    headerBytes = 0;
    frameBytes = 0;
    return isAccepted;
  };

  const readHeaderByte = (byte: number): void => {
    if (headerBytes < 3) frameBytes += byte * 256 ** headerBytes;
    headerBytes += 1;
  };

  return {
    isWithinLimit: (chunk) => {
      let offset = 0;
      while (offset < chunk.length) {
        const skippedBytes = Math.min(remainingPayloadBytes, chunk.length - offset);
        remainingPayloadBytes -= skippedBytes;
        offset += skippedBytes;
        if (offset < chunk.length) {
          readHeaderByte(chunk[offset] ?? 0);
          offset += 1;
          if (headerBytes === HEADER_BYTES && !startFrame()) return false;
        }
      }
      return true;
    },
  };
}
