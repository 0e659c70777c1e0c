import hypothesis

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=40,
    print_blob=False,
)
hypothesis.settings.load_profile("ci")


def pytest_configure():
    from loguru import logger

    logger.remove()
