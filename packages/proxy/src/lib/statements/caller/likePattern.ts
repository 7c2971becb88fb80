/**
 * Returns whether texts match a LIKE pattern, in any case of letters.
 *
 * Only the last `%` is tried at other places, so the time is at most proportional to the product of both
 * lengths; a regular expression would try all combinations of places.
 *
 * @internal
 */
export function createLikeMatcher(likePattern: string): (text: string) => boolean {
  const pattern = likePattern.toLowerCase().replaceAll(/(?<!\\)%{2,}/g, '%');

  /** Returns the index after an element that takes the character; undefined if it does not. */
  const takeCharacter = (index: number, character: string): number | undefined => {
    const element = pattern.charAt(index);
    // A backslash takes the following character literally; at the end, it stands for itself.
    if (element === '\\' && index + 1 < pattern.length) {
      return pattern.charAt(index + 1) === character ? index + 2 : undefined;
    }
    return element === '_' || element === character ? index + 1 : undefined;
  };

  return (anyCaseText) => {
    const text = anyCaseText.toLowerCase();
    let offset = 0;
    let index = 0;
    let retry: { offset: number; index: number } | undefined;
    while (offset < text.length) {
      const isAny = pattern.charAt(index) === '%';
      const next = isAny ? index + 1 : takeCharacter(index, text.charAt(offset));
      if (next !== undefined) {
        index = next;
        if (isAny) retry = { offset, index };
        else offset += 1;
      } else if (retry) {
        retry.offset += 1;
        ({ offset, index } = retry);
      } else return false;
    }
    while (pattern.charAt(index) === '%') index += 1;
    return index === pattern.length;
  };
}
