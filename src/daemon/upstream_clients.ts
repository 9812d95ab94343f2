import type { EngineClient } from "../engine/engine_client.ts";
import type { ServiceClient } from "../service/service_client.ts";

/** Creates the clients of upstreams; each wire format has its own factory. */
export type ClientFactory = Readonly<{
  engine: (address: string) => EngineClient;
  service: (address: string) => ServiceClient;
}>;

const MAX_CLIENTS = 1_024;

/** Clients by upstream address, each with its connection pool; the oldest client of a kind is closed at `MAX_CLIENTS`. */
export class UpstreamClients {
  readonly #factory: ClientFactory;
  readonly #engines = new Map<string, EngineClient>();
  readonly #services = new Map<string, ServiceClient>();

  private constructor(factory: ClientFactory) {
    this.#factory = factory;
  }

  static create(factory: ClientFactory): UpstreamClients {
    return new UpstreamClients(factory);
  }

  engine(address: string): EngineClient {
    return getOrCreate(this.#engines, address, this.#factory.engine);
  }

  service(address: string): ServiceClient {
    return getOrCreate(this.#services, address, this.#factory.service);
  }

  async close(): Promise<void> {
    const clients = [...this.#engines.values(), ...this.#services.values()];
    await Promise.all(clients.map((client) => client.close()));
  }
}

function getOrCreate<Client extends { close: () => Promise<void> }>(
  clients: Map<string, Client>,
  address: string,
  create: (address: string) => Client,
): Client {
  const existing = clients.get(address);
  if (existing !== undefined) return existing;
  evictOldest(clients);
  const client = create(address);
  clients.set(address, client);
  return client;
}

function evictOldest<Client extends { close: () => Promise<void> }>(
  clients: Map<string, Client>,
): void {
  if (clients.size < MAX_CLIENTS) return;
  const oldest = clients.entries().next().value;
  if (oldest === undefined) return;
  clients.delete(oldest[0]);
  void oldest[1].close();
}
