#!/usr/bin/env node
import { createApp } from "./app.ts";
import { runApp } from "./run_app.ts";

await runApp(createApp);
