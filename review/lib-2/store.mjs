// Object store of the platform, in small: conditional changes, lists and watches over HTTP.
//
// Every instance has an endpoint of its own, which stands for its link to the store: a cut link
// answers nothing, and addresses of databases are those of the links of that instance.
import { Buffer } from 'node:buffer';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { createServer } from 'node:http';

const LONGEST_WATCH_MILLISECONDS = 30_000;

export function createStore() {
  const kinds = new Map();
  const watchers = new Set();
  const events = [];
  let revision = 100;

  const objectsOf = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };

  function publish(event) {
    events.push(event);
    for (const wake of [...watchers]) wake();
  }

  /** Creates or replaces an object; one that does not change keeps its revision. */
  function put(kind, name, spec) {
    const former = objectsOf(kind).get(name);
    if (former && JSON.stringify(former.spec) === JSON.stringify(spec)) return former;
    revision += 1;
    const created = former?.meta.created ?? revision;
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
    const meta = { ...object.meta, revision };
    publish({ kind, revision, object: { ...object, meta }, deleted: true });
  }

  return {
    put,
    remove,
    get: (kind, name) => objectsOf(kind).get(name),
    list: (kind) =>
      [...objectsOf(kind).values()].sort((a, b) => (a.meta.name < b.meta.name ? -1 : 1)),
    eventsSince: (kind, from) =>
      events.filter((event) => event.kind === kind && event.revision > from),
    getRevision: () => revision,
    onChange: (wake) => {
      watchers.add(wake);
      return () => watchers.delete(wake);
    },
  };
}

/**
 * Serves the store to one instance.
 *
 * @param options.link - the way between the instance and the store; see `createNetwork`.
 * @param options.translate - what the instance sees of the spec of an object.
 */
export async function serveStore({ store, link, translate, onWrite = () => undefined }) {
  const view = (kind, object) => ({
    ...object,
    spec: translate(kind, object.spec, object.meta.name),
  });

  function answer(response, code, body) {
    // An answer that cannot cross the link is lost with its connection.
    if (!link.isOpen()) return;
    response.writeHead(code, { 'content-type': 'application/json' });
    response.end(body === undefined ? '' : JSON.stringify(body));
  }

  function watch(response, kind, query) {
    const from = Number(query.get('watch'));
    const wait = Math.min(LONGEST_WATCH_MILLISECONDS, Number(query.get('wait_ms') ?? 0));
    let stop = () => undefined;
    const finish = () => {
      stop();
      const found = store.eventsSince(kind, from).map(({ object, deleted }) => ({
        object: view(kind, object),
        deleted,
      }));
      answer(response, 200, { events: found, current_rev: store.getRevision() });
    };
    if (store.eventsSince(kind, from).length > 0) {
      finish();
      return;
    }
    const timer = setTimeout(finish, wait);
    const forget = store.onChange(() => {
      if (store.eventsSince(kind, from).length > 0) finish();
    });
    stop = () => {
      clearTimeout(timer);
      forget();
    };
    response.on('close', stop);
  }

  function change(response, kind, object) {
    onWrite(kind, object);
    answer(response, 200, object);
  }

  const handlers = {
    GET: ({ response, kind, name, query, present }) => {
      if (query.has('watch')) watch(response, kind, query);
      else if (name === undefined) {
        const items = store.list(kind).map((object) => view(kind, object));
        answer(response, 200, { items, has_more: false, current_rev: store.getRevision() });
      } else if (present) answer(response, 200, view(kind, present));
      else answer(response, 404);
    },
    POST: ({ response, kind, body }) => {
      const taken = store.get(kind, body.meta.name);
      if (taken) answer(response, 409, taken);
      else change(response, kind, store.put(kind, body.meta.name, body.spec));
    },
    PUT: ({ response, kind, name, body, present }) => {
      const { revision } = body.meta;
      if (!present) answer(response, 404);
      else if (revision !== undefined && revision !== present.meta.revision) {
        answer(response, 409, present);
      } else change(response, kind, store.put(kind, name, body.spec));
    },
    DELETE: ({ response, kind, name, query, present }) => {
      const revision = query.get('revision');
      if (!present) answer(response, 404);
      else if (revision !== null && Number(revision) !== present.meta.revision) {
        answer(response, 409, present);
      } else {
        store.remove(kind, name);
        answer(response, 200, present);
      }
    },
  };

  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (!link.isOpen()) return;
      const url = new URL(request.url, 'http://store');
      const [, , , kind, encodedName] = url.pathname.split('/');
      const name = encodedName === undefined ? undefined : decodeURIComponent(encodedName);
      const text = Buffer.concat(chunks).toString('utf8');
      handlers[request.method]({
        response,
        kind,
        name,
        query: url.searchParams,
        body: text === '' ? undefined : JSON.parse(text),
        present: name === undefined ? undefined : store.get(kind, name),
      });
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => {
    server.listen({ host: '127.0.0.1', port: 0 }, resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
