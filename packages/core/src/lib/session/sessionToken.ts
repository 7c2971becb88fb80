import { formatPosition, parsePosition, type Position } from '@wisterialift/schema';

/** Highest position of a session's writes in one group. @public */
export interface GroupPosition {
  group: string;
  position: Position;
}

/** A malformed, truncated or modified session token. @public */
export class InvalidTokenError extends Error {
  override name = 'InvalidTokenError';
}

const VERSION = 'w1';
const MAXIMUM_TOKEN_CHARACTERS = 8_192;
const TOKEN_PATTERN = /^w1\.([A-Za-z0-9_-]*)\.([0-9a-f]{8})$/;
const ENTRY_PATTERN = /^([a-z0-9][a-z0-9-]{0,62})=(\d+:\d+)$/;

const CHECKSUM_SEED = 0x811c9dc5;
const CHECKSUM_PRIME = 0x01000193;

/**
 * Encodes the positions of a session as an opaque token.
 *
 * Format: `w1.<base64url of "group=term:index;...">.<checksum>`. The checksum detects truncation and
 * typing errors; tokens grant no access, so need no signature.
 *
 * @public
 */
export function encodeToken(positions: GroupPosition[]): string {
  const text = positions
    .map(({ group, position }) => `${group}=${formatPosition(position)}`)
    .sort()
    .join(';');
  const body = btoa(text).replaceAll('+', '-').replaceAll('/', '_').replaceAll('=', '');
  return `${VERSION}.${body}.${computeChecksum(body)}`;
}

/**
 * Decodes a session token.
 *
 * @throws InvalidTokenError if the token is malformed or its checksum does not match.
 * @public
 */
export function decodeToken(token: string): GroupPosition[] {
  if (token.length > MAXIMUM_TOKEN_CHARACTERS) throw new InvalidTokenError('the token is too long');
  const match = TOKEN_PATTERN.exec(token);
  if (!match) throw new InvalidTokenError('the text is not a token');
  const [, body = '', checksum] = match;
  if (computeChecksum(body) !== checksum) {
    throw new InvalidTokenError('the checksum of the token is wrong');
  }
  const text = atob(body.replaceAll('-', '+').replaceAll('_', '/'));
  if (text === '') return [];
  return text.split(';').map(decodeEntry);
}

function decodeEntry(entry: string): GroupPosition {
  const match = ENTRY_PATTERN.exec(entry);
  const position = parsePosition(match?.[2] ?? '');
  if (!match?.[1] || !position) throw new InvalidTokenError('the token holds no position');
  return { group: match[1], position };
}

/** FNV-1a with 32 bits, as 8 hexadecimal digits. */
function computeChecksum(text: string): string {
  let hash = CHECKSUM_SEED;
  for (let index = 0; index < text.length; index += 1) {
    // eslint-disable-next-line no-bitwise
    hash = Math.imul(hash ^ text.charCodeAt(index), CHECKSUM_PRIME);
  }
  // eslint-disable-next-line no-bitwise
  return (hash >>> 0).toString(16).padStart(8, '0');
}
