/** An ordered collection that also finds items by their rank; all operations are logarithmic. */
export interface SortedSet<T> {
  /** Adds an item after those that compare as equal. */
  add: (item: T) => void;
  /** Removes one item that compares as equal; has no effect if there is none. */
  remove: (item: T) => void;
  /** Returns the item with `rank` items before it; undefined outside of the set. */
  at: (rank: number) => T | undefined;
  /** Counts the items at the start of the order for which `isBefore` holds. */
  countWhile: (isBefore: (item: T) => boolean) => number;
  size: () => number;
}

interface Node<T> {
  item: T;
  size: number;
  left: Tree<T>;
  right: Tree<T>;
}

type Tree<T> = Node<T> | undefined;

/**
 * Balance parameters of the weight-balanced tree. (3, 2) is the only pair of integers for which
 * insertion and deletion are proved to keep the balance.
 */
const MAXIMUM_WEIGHT_RATIO = 3;
const SINGLE_ROTATION_RATIO = 2;

/**
 * Creates an empty sorted set as a weight-balanced tree, which finds ranks by the sizes of its subtrees.
 *
 * @param compare - comparison function as for `Array.prototype.sort`.
 */
export function createSortedSet<T>(compare: (left: T, right: T) => number): SortedSet<T> {
  let root: Tree<T>;

  function insert(tree: Tree<T>, item: T): Node<T> {
    if (!tree) return createNode(item, undefined, undefined);
    const { left, right } = tree;
    return compare(item, tree.item) < 0
      ? balance(tree.item, insert(left, item), right)
      : balance(tree.item, left, insert(right, item));
  }

  function removeFrom(tree: Tree<T>, item: T): Tree<T> {
    if (!tree) return undefined;
    const { left, right } = tree;
    const order = compare(item, tree.item);
    if (order === 0) return join(left, right);
    return order < 0
      ? balance(tree.item, removeFrom(left, item), right)
      : balance(tree.item, left, removeFrom(right, item));
  }

  function at(rank: number): T | undefined {
    let tree = root;
    let remaining = rank;
    while (tree) {
      const before = getSize(tree.left);
      if (remaining === before) return tree.item;
      if (remaining < before) tree = tree.left;
      else {
        remaining -= before + 1;
        tree = tree.right;
      }
    }
    return undefined;
  }

  function countWhile(isBefore: (item: T) => boolean): number {
    let tree = root;
    let count = 0;
    while (tree) {
      if (isBefore(tree.item)) {
        count += getSize(tree.left) + 1;
        tree = tree.right;
      } else tree = tree.left;
    }
    return count;
  }

  return {
    add: (item) => {
      root = insert(root, item);
    },
    remove: (item) => {
      root = removeFrom(root, item);
    },
    at,
    countWhile,
    size: () => getSize(root),
  };
}

function getSize(tree: Tree<unknown>): number {
  return tree ? tree.size : 0;
}

function getWeight(tree: Tree<unknown>): number {
  return getSize(tree) + 1;
}

function createNode<T>(item: T, left: Tree<T>, right: Tree<T>): Node<T> {
  return { item, size: getSize(left) + getSize(right) + 1, left, right };
}

/** Joins an item and the trees beside it, of which one may have changed by one item. */
function balance<T>(item: T, left: Tree<T>, right: Tree<T>): Node<T> {
  if (right && getWeight(right) > MAXIMUM_WEIGHT_RATIO * getWeight(left)) {
    const isInnerHeavy = getWeight(right.left) >= SINGLE_ROTATION_RATIO * getWeight(right.right);
    return rotateLeft(
      item,
      left,
      isInnerHeavy ? rotateRight(right.item, right.left!, right.right) : right,
    );
  }
  if (left && getWeight(left) > MAXIMUM_WEIGHT_RATIO * getWeight(right)) {
    const isInnerHeavy = getWeight(left.right) >= SINGLE_ROTATION_RATIO * getWeight(left.left);
    return rotateRight(
      item,
      isInnerHeavy ? rotateLeft(left.item, left.left, left.right!) : left,
      right,
    );
  }
  return createNode(item, left, right);
}

function rotateLeft<T>(item: T, left: Tree<T>, right: Node<T>): Node<T> {
  return createNode(right.item, createNode(item, left, right.left), right.right);
}

function rotateRight<T>(item: T, left: Node<T>, right: Tree<T>): Node<T> {
  return createNode(left.item, left.left, createNode(item, left.right, right));
}

/** Joins the trees beside a removed item. */
function join<T>(left: Tree<T>, right: Tree<T>): Tree<T> {
  if (!left || !right) return left ?? right;
  const { first, rest } = removeFirst(right);
  return balance(first, left, rest);
}

function removeFirst<T>({ item, left, right }: Node<T>): { first: T; rest: Tree<T> } {
  if (!left) return { first: item, rest: right };
  const { first, rest } = removeFirst(left);
  return { first, rest: balance(item, rest, right) };
}
