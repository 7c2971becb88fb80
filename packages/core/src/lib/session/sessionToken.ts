import { formatPosition, parsePosition, type Position } from '@wisterialift/schema';

/** Highest position of a session's writes in one group. @public */
export interface GroupPosition {
  group: string;
  position: Position;
}

/** A token that no proxy has issued, or that was cut or changed on its way. @public */
export class InvalidTokenError extends Error {
  override name = 'InvalidTokenError';
}

const VERSION = 'w1';
const LONGEST_TOKEN = 8_192;
const TOKEN_FORM = /^w1\.([A-Za-z0-9_-]*)\.([0-9a-f]{8})$/;
const ENTRY_FORM = /^([a-z0-9][a-z0-9-]{0,62})=(\d+:\d+)$/;

const CHECKSUM_SEED = 0x811c9dc5;
const CHECKSUM_PRIME = 0x01000193;

/**
 * Writes the positions of a session as an opaque token.
 *
 * The form is `w1.<base64url of "group=term:index;...">.<checksum>`. The checksum finds a token that
 * was cut or mistyped; it is no signature, as a token grants nothing but a wait for newer data.
 *
 * @public
 */
export function encodeToken(positions: GroupPosition[]): string {
  const text = positions
    .map(({ group, position }) => `${group}=${formatPosition(position)}`)
    .sort()
    .join(';');
  const body = btoa(text).replaceAll('+', '-').replaceAll('/', '_').replaceAll('=', '');
  return `${VERSION}.${body}.${checksumOf(body)}`;
}

/**
 * Reads a token.
 *
 * @throws InvalidTokenError where the text is not a whole token.
 * @public
 */
export function decodeToken(token: string): GroupPosition[] {
  if (token.length > LONGEST_TOKEN) throw new InvalidTokenError('the token is too long');
  const match = TOKEN_FORM.exec(token);
  if (!match) throw new InvalidTokenError('the text is not a token');
  const [, body = '', checksum] = match;
  if (checksumOf(body) !== checksum) {
    throw new InvalidTokenError('the checksum of the token is wrong');
  }
  const text = atob(body.replaceAll('-', '+').replaceAll('_', '/'));
  if (text === '') return [];
  return text.split(';').map(decodeEntry);
}

function decodeEntry(entry: string): GroupPosition {
  const match = ENTRY_FORM.exec(entry);
  const position = parsePosition(match?.[2] ?? '');
  if (!match?.[1] || !position) throw new InvalidTokenError('the token holds no position');
  return { group: match[1], position };
}

/** FNV-1a with 32 bits, as 8 hexadecimal digits. */
function checksumOf(text: string): string {
  let hash = CHECKSUM_SEED;
  for (let index = 0; index < text.length; index += 1) {
    // eslint-disable-next-line no-bitwise
    hash = Math.imul(hash ^ text.charCodeAt(index), CHECKSUM_PRIME);
  }
  // eslint-disable-next-line no-bitwise
  return (hash >>> 0).toString(16).padStart(8, '0');
}
