import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface StoredObject {
  meta: {
    name: string;
    revision: number;
    created: number;
    finalizers: string[];
    deleting: boolean;
  };
  spec: unknown;
  status: unknown;
}

interface StoredEvent {
  kind: string;
  revision: number;
  object: StoredObject;
  deleted: boolean;
}

/** Faults that a test switches on. */
export interface StoreFaults {
  /** Answers 503 to everything, and no watch ends with a change. */
  isDown: boolean;
  /** Changes are made and no watch hears of them. */
  isSilent: boolean;
  /** Changes that are made and not answered. */
  lostAnswers: number;
  /** JSON that answers contain in place of texts, for values that no object of the store can hold. */
  rawValues: Map<string, string>;
}

/** An object store with revisions, conditional changes and watches. */
export interface ObjectStoreServer {
  address: string;
  faults: StoreFaults;
  /** Calls that were made: method, kind and query. */
  calls: string[];
  put: (kind: string, name: string, spec: unknown) => void;
  get: (kind: string, name: string) => unknown;
  remove: (kind: string, name: string) => void;
  /** Drops all history; watches that wait hear nothing of it, and of no change before it. */
  compact: () => void;
  close: () => Promise<void>;
}

export async function startObjectStore(): Promise<ObjectStoreServer> {
  const kinds = new Map<string, Map<string, StoredObject>>();
  const faults: StoreFaults = {
    isDown: false,
    isSilent: false,
    lostAnswers: 0,
    rawValues: new Map(),
  };
  const calls: string[] = [];
  const watchers = new Set<() => void>();
  let events: StoredEvent[] = [];
  let revision = 1;
  let oldest = 0;

  const objectsOf = (kind: string) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind)!;
  };

  function put(kind: string, name: string, spec: unknown): StoredObject {
    revision += 1;
    const created = objectsOf(kind).get(name)?.meta.created ?? revision;
    const meta = { name, revision, created, finalizers: [], deleting: false };
    const object = { meta, spec, status: null };
    objectsOf(kind).set(name, object);
    publish({ kind, revision, object, deleted: false });
    return object;
  }

  function remove(kind: string, name: string): void {
    const object = objectsOf(kind).get(name);
    if (!object) return;
    revision += 1;
    objectsOf(kind).delete(name);
    publish({ kind, revision, object, deleted: true });
  }

  function publish(event: StoredEvent): void {
    events.push(event);
    for (const wake of [...watchers]) wake();
  }

  function insertRawValues(text: string): string {
    return [...faults.rawValues].reduce(
      (inserted, [name, json]) => inserted.replaceAll(JSON.stringify(name), json),
      text,
    );
  }

  function answer(response: ServerResponse, code: number, body?: unknown): void {
    response.writeHead(code, { 'content-type': 'application/json' });
    response.end(body === undefined ? '' : insertRawValues(JSON.stringify(body)));
  }

  function change(response: ServerResponse, object: StoredObject): void {
    if (faults.lostAnswers > 0) {
      faults.lostAnswers -= 1;
      response.socket?.destroy();
      return;
    }
    answer(response, 200, object);
  }

  function watch(response: ServerResponse, kind: string, query: URLSearchParams): void {
    const from = Number(query.get('watch'));
    if (from < oldest) {
      answer(response, 410);
      return;
    }
    const found = () => events.filter((event) => event.kind === kind && event.revision > from);
    let timer: NodeJS.Timeout | undefined;
    const finish = (): void => {
      stop();
      if (from < oldest) {
        answer(response, 410);
        return;
      }
      const list = found().map(({ object, deleted }) => ({ object, deleted }));
      answer(response, 200, { events: list, current_rev: revision });
    };
    const wake = (): void => {
      if (!faults.isDown && !faults.isSilent && found().length > 0) finish();
    };
    function stop(): void {
      watchers.delete(wake);
      clearTimeout(timer);
    }
    timer = setTimeout(finish, Number(query.get('wait_ms') ?? 0));
    response.on('close', stop);
    watchers.add(wake);
    wake();
  }

  async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    // The path is read as it was sent; the URL resolves segments of dots.
    const [path = ''] = (request.url ?? '/').split('?');
    const [, , , kind = '', name] = path.split('/').map(decodeURIComponent);
    calls.push(`${request.method} ${kind}${url.search}`);
    const body = await readBody(request);
    if (faults.isDown) {
      answer(response, 503);
      return;
    }
    const present = name === undefined ? undefined : objectsOf(kind).get(name);
    const handlers: Record<string, () => void> = {
      GET: () => {
        if (url.searchParams.has('watch')) watch(response, kind, url.searchParams);
        else if (name === undefined) {
          const items = [...objectsOf(kind).values()];
          answer(response, 200, { items, has_more: false, current_rev: revision });
        } else if (present) answer(response, 200, present);
        else answer(response, 404);
      },
      POST: () => {
        const taken = objectsOf(kind).get(body.meta.name);
        if (taken) answer(response, 409, taken);
        else change(response, put(kind, body.meta.name, body.spec));
      },
      PUT: () => {
        if (!present) answer(response, 404);
        else if (body.meta.revision !== undefined && body.meta.revision !== present.meta.revision) {
          answer(response, 409, present);
        } else change(response, put(kind, present.meta.name, body.spec));
      },
      DELETE: () => {
        const revisionAsked = url.searchParams.get('revision');
        if (!present) answer(response, 404);
        else if (revisionAsked !== null && Number(revisionAsked) !== present.meta.revision) {
          answer(response, 409, present);
        } else {
          remove(kind, present.meta.name);
          answer(response, 200, present);
        }
      },
    };
    handlers[request.method ?? '']?.();
  }

  const server = createServer((request, response) => {
    void handle(request, response);
  });
  await new Promise<void>((resolve) => {
    server.listen({ host: '127.0.0.1', port: 0 }, resolve);
  });

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    faults,
    calls,
    put,
    get: (kind, name) => objectsOf(kind).get(name)?.spec,
    remove,
    compact: () => {
      oldest = revision + 1;
      revision += 1;
      events = [];
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

async function readBody(
  request: IncomingMessage,
): Promise<{ meta: { name: string; revision?: number }; spec: unknown }> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? { meta: { name: '' }, spec: undefined } : JSON.parse(text);
}
