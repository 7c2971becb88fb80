import { HEADER_BYTES, MAXIMUM_FRAME_PAYLOAD_BYTES } from '../protocol/constants';

/** Checks the packet sizes in a byte stream without buffering packets. @internal */
export interface PacketSizeLimiter {
  /**
   * Processes the next chunk of the stream.
   *
   * @returns false if a frame header in the chunk announces a packet above the limit.
   */
  isWithinLimit: (chunk: Buffer) => boolean;
}

/**
 * Creates the packet size limiter of one connection.
 *
 * The driver buffers a packet until it is complete, so a large one would take its whole size in
 * memory. The limiter checks each frame header before the payload is buffered.
 *
 * @param getMaximumBytes - returns the largest payload in bytes, summed over the frames of a
 * packet; the limit changes after login.
 * @internal
 */
export function createPacketSizeLimiter(getMaximumBytes: () => number): PacketSizeLimiter {
  let headerBytesRead = 0;
  let framePayloadBytes = 0;
  let remainingPayloadBytes = 0;
  let packetPayloadBytes = 0;

  const startFrame = (): boolean => {
    packetPayloadBytes += framePayloadBytes;
    remainingPayloadBytes = framePayloadBytes;
    const isAccepted = packetPayloadBytes <= getMaximumBytes();
    if (framePayloadBytes < MAXIMUM_FRAME_PAYLOAD_BYTES) packetPayloadBytes = 0;
    headerBytesRead = 0;
    framePayloadBytes = 0;
    return isAccepted;
  };

  const readHeaderByte = (byte: number): void => {
    if (headerBytesRead < 3) framePayloadBytes += byte * 256 ** headerBytesRead;
    headerBytesRead += 1;
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
          if (headerBytesRead === HEADER_BYTES && !startFrame()) return false;
        }
      }
      return true;
    },
  };
}
