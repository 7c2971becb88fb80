import { HEADER_BYTES, MAXIMUM_FRAME_PAYLOAD_BYTES } from './constants';

const SEQUENCE_NUMBER_COUNT = 256;

/** Number of frames of a payload; the last one is shorter than the largest, and may be empty. @internal */
export function countFrames(payloadBytes: number): number {
  return Math.floor(payloadBytes / MAXIMUM_FRAME_PAYLOAD_BYTES) + 1;
}

/**
 * Splits a payload into frames and adds their headers.
 *
 * @param sequence - sequence number of the first frame; wraps at 256.
 * @public
 */
export function toFrames(payload: Buffer, sequence: number): Buffer {
  if (payload.length < MAXIMUM_FRAME_PAYLOAD_BYTES) return encodeFrame(payload, sequence);
  const frames: Buffer[] = [];
  let offset = 0;
  for (
    ;
    payload.length - offset >= MAXIMUM_FRAME_PAYLOAD_BYTES;
    offset += MAXIMUM_FRAME_PAYLOAD_BYTES
  ) {
    frames.push(
      encodeFrame(
        payload.subarray(offset, offset + MAXIMUM_FRAME_PAYLOAD_BYTES),
        sequence + frames.length,
      ),
    );
  }
  frames.push(encodeFrame(payload.subarray(offset), sequence + frames.length));
  return Buffer.concat(frames);
}

function encodeFrame(payload: Buffer, sequence: number): Buffer {
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  frame.writeUIntLE(payload.length, 0, 3);
  frame.writeUInt8(sequence % SEQUENCE_NUMBER_COUNT, 3);
  payload.copy(frame, HEADER_BYTES);
  return frame;
}

/** Copies frames and numbers them anew from a sequence number. @public */
export function renumberFrames(frames: Buffer, sequence: number): Buffer {
  const copy = Buffer.from(frames);
  let next = sequence;
  for (let offset = 0; offset < copy.length; offset += HEADER_BYTES + copy.readUIntLE(offset, 3)) {
    copy.writeUInt8(next % SEQUENCE_NUMBER_COUNT, offset + 3);
    next += 1;
  }
  return copy;
}
