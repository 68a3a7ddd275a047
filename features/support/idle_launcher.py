"""A run that starts one process, says its id and waits to be ended."""

import time

from turmericyard_bench.launch import create_launcher

WAIT_SECONDS = 60

if __name__ == '__main__':
    launcher = create_launcher()
    started = launcher.start_ready('store', 'turmericyard_bench.standins.store')
    print('ready', started.popen.pid, flush=True)
    time.sleep(WAIT_SECONDS)
