// Stand-in for the platform's metadata store. Unlike the project's own it answers lists in pages.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

/** "The response contains `items` (about 500 or 1 MB at most)". */
const PAGE_SIZE = 500;

/** "4 ms an answer". */
const ANSWER_MILLISECONDS = 4;

/** Starts a store; each call is carried out when it arrives and answered 4 ms later. */
export async function startPagedStore({ pageSize = PAGE_SIZE } = {}) {
  const kinds = new Map();
  const watchers = new Set();
  const events = [];
  let revision = 100;
  /** Called after a page of a list was read, with the kind and the number of the page from 1. */
  let onPageRead = () => undefined;

  const objectsOf = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };

  function publish(event) {
    events.push(event);
    for (const wake of [...watchers]) wake();
  }

  function put(kind, name, spec) {
    const existing = objectsOf(kind).get(name);
    if (existing && JSON.stringify(existing.spec) === JSON.stringify(spec)) return existing;
    revision += 1;
    const created = existing?.meta.created ?? revision;
    const meta = { name, revision, created, finalizers: [], deleting: false };
    const object = { meta, spec, status: null };
    objectsOf(kind).set(name, object);
    publish({ kind, revision, object, deleted: false });
    return object;
  }

  function remove(kind, name) {
    const object = objectsOf(kind).get(name);
    if (!object) return;
    revision += 1;
    objectsOf(kind).delete(name);
    publish({ kind, revision, object, deleted: true });
  }

  /** Replaces addresses by those of the links over which the caller reaches them. */
  function translate(text, links) {
    return Object.entries(links).reduce(
      (done, [from, to]) => done.replaceAll(`"${from}"`, `"${to}"`),
      text,
    );
  }

  function answer(response, code, body) {
    const text = body === undefined ? '' : JSON.stringify(body);
    setTimeout(() => {
      response.writeHead(code, { 'content-type': 'application/json' });
      response.end(translate(text, response.links));
    }, ANSWER_MILLISECONDS);
  }

  function watch(response, kind, query) {
    const from = Number(query.get('watch'));
    const found = () => events.filter((event) => event.kind === kind && event.revision > from);
    let timer;
    function stop() {
      watchers.delete(wake);
      clearTimeout(timer);
    }
    function finish() {
      stop();
      const changes = found().map(({ object, deleted }) => ({ object, deleted }));
      answer(response, 200, { events: changes, current_rev: revision });
    }
    function wake() {
      if (found().length > 0) finish();
    }
    timer = setTimeout(finish, Number(query.get('wait_ms') ?? 0));
    response.on('close', stop);
    watchers.add(wake);
    wake();
  }

  /** Reads one page. A change after this moment is in no page that was read before it. */
  function list(response, kind, query) {
    const after = query.get('after') ?? '';
    const names = [...objectsOf(kind).keys()].sort().filter((name) => name > after);
    const items = names.slice(0, pageSize).map((name) => objectsOf(kind).get(name));
    const hasMore = names.length > items.length;
    answer(response, 200, { items, has_more: hasMore, current_rev: revision });
    onPageRead({ kind, isFirst: after === '', hasMore, revision });
  }

  const HANDLERS = {
    GET: ({ response, kind, name, present, query }) => {
      if (query.has('watch')) watch(response, kind, query);
      else if (name === undefined) list(response, kind, query);
      else answer(response, present ? 200 : 404, present);
    },
    POST: ({ response, kind, body }) => {
      const taken = objectsOf(kind).get(body.meta.name);
      if (taken) answer(response, 409, taken);
      else answer(response, 200, put(kind, body.meta.name, body.spec));
    },
    PUT: ({ response, kind, name, present, body }) => {
      const expected = body.meta.revision;
      if (!present) answer(response, 404);
      else if (expected !== undefined && expected !== present.meta.revision) {
        answer(response, 409, present);
      } else answer(response, 200, put(kind, name, body.spec));
    },
    DELETE: ({ response, kind, name, present, query }) => {
      const expected = query.get('revision');
      if (!present) answer(response, 404);
      else if (expected !== null && Number(expected) !== present.meta.revision) {
        answer(response, 409, present);
      } else {
        remove(kind, name);
        answer(response, 200, present);
      }
    },
  };

  async function handle(request, response) {
    const url = new URL(request.url ?? '/', 'http://store');
    const [, , , kind = '', encodedName] = url.pathname.split('/');
    const name = encodedName === undefined ? undefined : decodeURIComponent(encodedName);
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString('utf8');
    const body = text === '' ? undefined : JSON.parse(text);
    const present = name === undefined ? undefined : objectsOf(kind).get(name);
    HANDLERS[request.method]?.({ response, kind, name, present, body, query: url.searchParams });
  }

  const servers = [];

  /** Opens another port, whose callers see other addresses of what they connect to. */
  async function open(links = {}) {
    const server = createServer((request, response) => {
      Object.assign(response, { links });
      handle(request, response).catch(() => response.destroy());
    });
    servers.push(server);
    await new Promise((resolve) => {
      server.listen({ host: '127.0.0.1', port: 0 }, resolve);
    });
    return `127.0.0.1:${server.address().port}`;
  }

  return {
    address: await open(),
    open,
    put,
    remove,
    getRevision: () => revision,
    setOnPageRead: (listener) => {
      onPageRead = listener;
    },
    close: () => {
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
}
