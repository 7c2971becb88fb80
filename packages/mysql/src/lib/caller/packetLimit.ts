import { HEADER_BYTES, LARGEST_FRAME } from '../protocol/constants';

/** Follows the frames of a byte stream without keeping them. @internal */
export interface PacketLimit {
  /** @returns false once a frame's header announces more than the limit. */
  accepts: (chunk: Buffer) => boolean;
}

/**
 * Creates the limit on the packets of one connection.
 *
 * The driver's parser keeps a packet until it is whole, so a header that announces a large one would
 * cost its length in memory. Here the header is read as it comes, before any of the payload is kept.
 *
 * @param maximumBytes - largest payload; the frames of one packet count together.
 * @internal
 */
export function createPacketLimit(maximumBytes: () => number): PacketLimit {
  let headerBytes = 0;
  let frameLength = 0;
  let toSkip = 0;
  let packetLength = 0;

  const startFrame = (): boolean => {
    packetLength += frameLength;
    toSkip = frameLength;
    const isWithin = packetLength <= maximumBytes();
    if (frameLength < LARGEST_FRAME) packetLength = 0;
    headerBytes = 0;
    frameLength = 0;
    return isWithin;
  };

  const readHeaderByte = (byte: number): void => {
    if (headerBytes < 3) frameLength += byte * 256 ** headerBytes;
    headerBytes += 1;
  };

  return {
    accepts: (chunk) => {
      let offset = 0;
      while (offset < chunk.length) {
        const skipped = Math.min(toSkip, chunk.length - offset);
        toSkip -= skipped;
        offset += skipped;
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
