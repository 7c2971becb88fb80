/** A binary min-heap. @public */
export interface Heap<T> {
  push: (item: T) => void;
  pop: () => T | undefined;
  peek: () => T | undefined;
  size: () => number;
  /** Removes the items for which `keep` returns false, in linear time. */
  retain: (keep: (item: T) => boolean) => void;
}

/**
 * Creates an empty binary heap.
 *
 * @param compare - comparison function as for `Array.prototype.sort`.
 * @public
 */
export function createHeap<T>(compare: (left: T, right: T) => number): Heap<T> {
  let items: T[] = [];

  const isAbove = (left: number, right: number) => compare(items[left]!, items[right]!) < 0;

  const swap = (left: number, right: number) => {
    const item = items[left]!;
    items[left] = items[right]!;
    items[right] = item;
  };

  const siftUp = (start: number) => {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isAbove(index, parent)) return;
      swap(index, parent);
      index = parent;
    }
  };

  const siftDown = (start: number) => {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let top = index;
      if (left < items.length && isAbove(left, top)) top = left;
      if (right < items.length && isAbove(right, top)) top = right;
      if (top === index) return;
      swap(index, top);
      index = top;
    }
  };

  const push = (item: T) => {
    items.push(item);
    siftUp(items.length - 1);
  };

  const pop = () => {
    const top = items[0];
    const last = items.pop();
    if (items.length > 0) {
      items[0] = last!;
      siftDown(0);
    }
    return top;
  };

  const retain = (isKept: (item: T) => boolean) => {
    items = items.filter(isKept);
    for (let index = Math.floor(items.length / 2); index >= 0; index -= 1) siftDown(index);
  };

  return { push, pop, peek: () => items[0], size: () => items.length, retain };
}
