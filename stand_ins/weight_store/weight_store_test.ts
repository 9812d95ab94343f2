import { afterEach, expect, test } from "vitest";
import { fetch } from "undici";
import { WeightStore } from "./weight_store.ts";

const stores: WeightStore[] = [];

afterEach(async () => {
  await Promise.all(stores.splice(0).map((store) => store.close()));
});

async function startStore(loadMs: number) {
  const store = WeightStore.create({ loadMs });
  stores.push(store);
  const address = await store.listen();
  return { store, url: `http://${address}/weights/m/v1` };
}

test("two loads run at a time and a third is refused with a time to come back", async () => {
  const { store, url } = await startStore(30_000);
  const abort = new AbortController();
  const loads = [1, 2].map(() =>
    fetch(url, { signal: abort.signal }).catch(() => "left")
  );
  await expect.poll(() => store.counts().running).toBe(2);
  const third = await fetch(url);
  expect([third.status, third.headers.get("retry-after")]).toEqual([429, "30"]);
  abort.abort();
  await Promise.all(loads);
  await expect.poll(() => store.counts().running).toBe(0);
  expect(store.counts()).toEqual({ running: 0, loaded: 0, refused: 1 });
});

test("a load answers with what was loaded", async () => {
  const { store, url } = await startStore(1);
  const res = await fetch(url);
  expect(await res.json()).toEqual({ model: "m", version: "v1" });
  expect(store.counts().loaded).toBe(1);
});
